package org.boragegap.standin;

import java.io.IOException;

/** A stand-in for a service outside the system. */
public interface Standin {

    /** Starts listening. */
    void start() throws IOException;

    /** Stops listening. */
    void stop();
}
