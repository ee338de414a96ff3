package org.boragegap.entry;

import java.util.Optional;
import org.boragegap.core.job.Answer;

/**
 * What is known of a submission.
 *
 * @param known whether some VM holds it
 * @param answer its answer, if it has one
 */
record JobStatus(boolean known, Optional<Answer> answer) {
    static final JobStatus UNKNOWN = new JobStatus(false, Optional.empty());
}
