package org.boragegap.http;

import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.attributes.Attribute;

/** The number that the process at the other end of a connection has stated. */
final class PeerNumber {
    /** The process has not been asked, or has stated no number. */
    static final long UNKNOWN = 0;

    private static final Attribute<Long> sNumber =
            Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("boragegap.peer-number", UNKNOWN);

    private PeerNumber() {}

    static long of(Connection<?> connection) {
        return sNumber.get(connection);
    }

    static void set(Connection<?> connection, long number) {
        sNumber.set(connection, number);
    }
}
