package org.boragegap.app;

/** The command line is wrong; the message is one line. */
final class UsageException extends Exception {
    private static final long serialVersionUID = 1L;

    UsageException(String message) {
        super(message);
    }
}
