package org.boragegap.core.cell;

/** How a job ended, as reported to its caller. */
public sealed interface Verdict {

    /** One-line reason for the outcome. */
    String reason();

    /** All tasks of the job completed successfully. */
    record Completed() implements Verdict {
        @Override
        public String reason() {
            return "all tasks done";
        }
    }

    /**
     * The job failed: one of its tasks failed too often.
     *
     * @param reason one line
     */
    record Failed(String reason) implements Verdict {}

    /**
     * The job was refused: none of its tasks has started, and none will.
     *
     * @param reason one line
     * @param retryAfterMs when the caller may retry, in ms
     */
    record Declined(String reason, long retryAfterMs) implements Verdict {}

    /**
     * It is unknown whether tasks of the job have run; the caller may submit the job again.
     *
     * @param reason one line
     */
    record InDoubt(String reason) implements Verdict {}
}
