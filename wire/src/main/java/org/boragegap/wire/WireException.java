package org.boragegap.wire;

/** Thrown if a message can't be encoded or a frame can't be decoded. */
public final class WireException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Creates an exception with a message of one line. */
    public WireException(String message, Throwable cause) {
        super(message, cause);
    }
}
