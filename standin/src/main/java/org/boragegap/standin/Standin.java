package org.boragegap.standin;

import java.io.IOException;

/** A service that stands in for something outside the system. */
public interface Standin {

    /** Starts listening. */
    void start() throws IOException;

    /** Stops listening. */
    void stop();
}
