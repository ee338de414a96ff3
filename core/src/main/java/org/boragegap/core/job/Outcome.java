package org.boragegap.core.job;

/** How one attempt at a task ended. */
public sealed interface Outcome {

    /**
     * The task ran and gave its whole result.
     *
     * @param result the result
     * @param tookMs run time as the target reported it
     * @param used what the task used, as the target reported it
     */
    record Succeeded(String result, long tookMs, Resources used) implements Outcome {}

    /**
     * The task ran and failed.
     *
     * @param reason one line
     */
    record Failed(String reason) implements Outcome {}

    /**
     * Nothing of the task was run.
     *
     * @param cause why
     * @param reason one line
     */
    record NotRun(RefusalCause cause, String reason) implements Outcome {}

    /**
     * The task may have run, and its result will not come.
     *
     * @param reason one line
     */
    record Lost(String reason) implements Outcome {}
}
