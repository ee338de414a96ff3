package org.boragegap.entry;

/** An entry process can't start as it was told to. */
public final class EntryException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Makes an exception with one line that says what is wrong. */
    public EntryException(String message, Throwable cause) {
        super(message, cause);
    }
}
