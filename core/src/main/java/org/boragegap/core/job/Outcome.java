package org.boragegap.core.job;

/** How one attempt at a task ended. */
public sealed interface Outcome {

    /**
     * The task ran and returned its complete result.
     *
     * @param result the result
     * @param tookMs run time as the target reported it
     * @param used resources that the task used, as the target reported them
     */
    record Succeeded(String result, long tookMs, Resources used) implements Outcome {}

    /**
     * The task ran and failed.
     *
     * @param reason explanation in one line
     */
    record Failed(String reason) implements Outcome {}

    /**
     * No part of the task was run.
     *
     * @param cause why it was not run
     * @param reason explanation in one line
     */
    record NotRun(RefusalCause cause, String reason) implements Outcome {}

    /**
     * The task may have run, and its result will not arrive.
     *
     * @param reason explanation in one line
     */
    record Lost(String reason) implements Outcome {}
}
