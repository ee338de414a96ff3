package org.boragegap.entry;

import java.util.Optional;
import org.boragegap.core.job.Answer;

/**
 * What is known about a submission.
 *
 * @param known whether this VM or one that was asked holds it
 * @param answer its answer, if it has one already
 */
record JobStatus(boolean known, Optional<Answer> answer) {
    static final JobStatus UNKNOWN = new JobStatus(false, Optional.empty());
}
