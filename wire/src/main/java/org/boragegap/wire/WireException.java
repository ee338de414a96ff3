package org.boragegap.wire;

/** A frame that can't be read or written. */
public final class WireException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Makes an exception with one line that says what is wrong. */
    public WireException(String message, Throwable cause) {
        super(message, cause);
    }
}
