package org.boragegap.core.job;

import java.util.List;

/** The one final answer to a submission. */
public sealed interface Answer {

    /**
     * Every task ran and returned its result.
     *
     * @param results one result per task, ordered by task index
     */
    record Complete(List<String> results) implements Answer {}

    /**
     * There is no complete result, and there will be none.
     *
     * @param kind what is known about whether the tasks ran
     * @param reason one line for the caller
     * @param retryAfterMs delay in milliseconds after which to retry; 0 when a retry is of no use
     */
    record Failed(FailureKind kind, String reason, long retryAfterMs) implements Answer {}
}
