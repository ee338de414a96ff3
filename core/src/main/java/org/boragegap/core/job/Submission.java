package org.boragegap.core.job;

import java.util.List;
import java.util.Optional;

/**
 * A job of many tasks, or a request to a service, which is a job with a single task.
 *
 * @param id identifies the submission
 * @param team team on whose behalf it runs
 * @param kind kind of task; statistics and rules are kept per kind
 * @param service service whose minions run it; empty when workers run it
 * @param idempotent whether a request may be sent again after it may have run
 * @param deadlineMs wall-clock time after which the answer is of no use
 * @param tasks the tasks, ordered by their index
 * @param fingerprint hash of the body, the same for every resubmission
 */
public record Submission(
        SubmissionId id,
        String team,
        String kind,
        Optional<String> service,
        boolean idempotent,
        long deadlineMs,
        List<TaskSpec> tasks,
        long fingerprint) {}
