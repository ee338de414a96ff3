package org.boragegap.core.job;

import java.util.List;

/** The one final answer to a submission. */
public sealed interface Answer {

    /**
     * Every task ran and gave its result.
     *
     * @param results one result a task, in order of their index
     */
    record Complete(List<String> results) implements Answer {}

    /**
     * There is no complete result and there will be none.
     *
     * @param kind what is known about the work
     * @param reason one line for the caller
     * @param retryAfterMs when to come back, in milliseconds; 0 when there is no point
     */
    record Failed(FailureKind kind, String reason, long retryAfterMs) implements Answer {}
}
