package org.boragegap.wire;

/** Takes what peers send. */
public interface PeerListener {

    /** A message came over a connection. */
    void onMessage(long link, PeerMessage message);

    /** A message could not be sent, or its connection ended before an answer could come back. */
    void onLost(String address, PeerMessage message, boolean sent);
}
