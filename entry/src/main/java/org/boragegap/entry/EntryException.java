package org.boragegap.entry;

/** Thrown when an entry process can't start with its settings. */
public final class EntryException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Creates an exception; the message is one line that says what is wrong. */
    public EntryException(String message, Throwable cause) {
        super(message, cause);
    }
}
