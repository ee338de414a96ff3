package org.boragegap.http;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The form of an address, {@code host:port}, that others have stated. */
public final class HostAndPort {
    private static final Pattern sForm =
            Pattern.compile(
                    "([A-Za-z0-9]([A-Za-z0-9.-]{0,251}[A-Za-z0-9])?|\\[[0-9A-Fa-f:.]{2,45}\\])"
                            + ":([0-9]{1,5})");

    private static final int PORT_GROUP = 3;
    private static final int MAX_PORT = 65_535;

    private HostAndPort() {}

    /** True when a connection to the address can at least be tried. */
    public static boolean isValid(String address) {
        Matcher form = sForm.matcher(address);
        if (!form.matches()) {
            return false;
        }
        int port = Integer.parseInt(form.group(PORT_GROUP));
        return port > 0 && port <= MAX_PORT;
    }
}
