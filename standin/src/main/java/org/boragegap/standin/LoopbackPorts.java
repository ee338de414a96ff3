package org.boragegap.standin;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Finds free ports on loopback.
 *
 * <p>They are below the range of ephemeral ports, from which the system takes ports for outgoing
 * connections: such a connection could take a port between the check and its use.
 */
public final class LoopbackPorts {
    private static final int FIRST_PORT = 10_000;
    private static final int PORT_COUNT = 20_000;
    private static final int PID_STRIDE = 211;
    private static final AtomicInteger sNext =
            new AtomicInteger((int) (ProcessHandle.current().pid() * PID_STRIDE % PORT_COUNT));

    private LoopbackPorts() {}

    /** A port that was free when checked and that this process hasn't returned before. */
    public static int next() throws IOException {
        for (int tries = 0; tries < PORT_COUNT; tries++) {
            int port = FIRST_PORT + Math.floorMod(sNext.getAndIncrement(), PORT_COUNT);
            if (isFree(port)) {
                return port;
            }
        }
        throw new IOException(
                "no free port from " + FIRST_PORT + " to " + (FIRST_PORT + PORT_COUNT));
    }

    private static boolean isFree(int port) {
        try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
            return socket.isBound();
        } catch (IOException e) {
            return false;
        }
    }
}
