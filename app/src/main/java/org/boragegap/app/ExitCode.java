package org.boragegap.app;

/** Exit codes of the command line. */
public enum ExitCode {
    /** Success. */
    OK(0),
    /** The work ran and failed, or a check failed. */
    FAILED(1),
    /** The command line or a settings file is invalid. */
    USAGE(2),
    /** The submission was refused and nothing was run. */
    NOT_RUN(3),
    /** The outcome is unknown: the work may have run. */
    UNKNOWN(4);

    private final int mCode;

    ExitCode(int code) {
        mCode = code;
    }

    /** Exit status of the process. */
    public int code() {
        return mCode;
    }
}
