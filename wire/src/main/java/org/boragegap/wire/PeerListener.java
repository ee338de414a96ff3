package org.boragegap.wire;

/** Receives messages from peers. */
public interface PeerListener {

    /**
     * Called when a message has been received.
     *
     * @param connectionId the inbound connection, for {@link PeerTransport#reply}; 0 if the message
     *     came over an outgoing connection
     * @param message the message
     */
    void onMessage(long connectionId, PeerMessage message);

    /**
     * Called when a message could not be sent, or when its connection was closed before the answer
     * was received.
     *
     * @param address peer address of the receiver
     * @param message the message
     * @param sent false if the message was certainly not sent
     */
    void onLost(String address, PeerMessage message, boolean sent);
}
