package org.boragegap.app;

/** Exit codes of the command line. */
public enum ExitCode {
    /** All went well. */
    OK(0),
    /** The work ran and failed, or a check did not hold. */
    FAILED(1),
    /** The command line or a settings file is wrong. */
    USAGE(2),
    /** Refused; nothing was run. */
    NOT_RUN(3),
    /** The outcome is unknown: the work may have run. */
    UNKNOWN(4);

    private final int mCode;

    ExitCode(int code) {
        mCode = code;
    }

    /** The number that the process exits with. */
    public int code() {
        return mCode;
    }
}
