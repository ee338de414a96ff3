package org.boragegap.core.cell;

/** How a job ended for its caller. */
public sealed interface Verdict {

    /** Why it ended so, in one line. */
    String reason();

    /** Every task of the job has ended well. */
    record Completed() implements Verdict {
        @Override
        public String reason() {
            return "all tasks done";
        }
    }

    /**
     * It can't be done.
     *
     * @param reason one line
     */
    record Failed(String reason) implements Verdict {}

    /**
     * Refused: no task of it has started, and none will.
     *
     * @param reason one line
     * @param retryAfterMs when the caller may come back, in ms
     */
    record Declined(String reason, long retryAfterMs) implements Verdict {}

    /**
     * Given up without knowing whether tasks of it have run; the caller may hand it in again.
     *
     * @param reason one line
     */
    record InDoubt(String reason) implements Verdict {}
}
