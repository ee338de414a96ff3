package org.boragegap.app;

/** Thrown if the command line is invalid; the message is a single line. */
final class UsageException extends Exception {
    private static final long serialVersionUID = 1L;

    UsageException(String message) {
        super(message);
    }
}
