package org.boragegap.entry.cell;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.boragegap.core.cell.CellMessage;
import org.boragegap.wire.PeerListener;
import org.boragegap.wire.PeerMessage;
import org.boragegap.wire.PeerTransport;

/** Exchanges messages about cells with the other entry VMs. */
final class CellPeers {
    private static final Logger sLog = LogManager.getLogger(CellPeers.class);

    private final String mSelf;
    private final PeerTransport mTransport;
    private final Consumer<List<PeerMessage.Cell>> mReceived;
    private final Outbox mOutbox = new Outbox(this::send);

    /** By peer address, the connection on which the last message from that VM came. */
    private final Map<String, Long> mLinkByAddress = new ConcurrentHashMap<>();

    /**
     * Creates an instance that is not started.
     *
     * @param host address to listen on
     * @param self peer address of this VM
     * @param received called with the messages of each frame, on any thread
     */
    CellPeers(String host, int port, String self, Consumer<List<PeerMessage.Cell>> received) {
        mSelf = self;
        mReceived = received;
        mTransport = PeerTransport.create(host, port, new Listener());
    }

    void start() throws IOException {
        mTransport.start();
    }

    void stop() {
        mTransport.stop();
    }

    /** Checks for connections that have gone silent; to be called several times a second. */
    void probe(long nowMs) {
        mTransport.probe(nowMs);
    }

    /** Sends the messages added since the last call. Used by the control thread only. */
    void flush() {
        mOutbox.flush();
    }

    /** Creates a channel for messages about one cell. Used by the control thread only. */
    Channel channel(int cell) {
        return new Channel(cell);
    }

    /** Collects messages about one cell; they are sent by the next {@link #flush}. */
    final class Channel {
        private final int mCell;

        /** Used again when the same message goes to several peers, so that it is encoded once. */
        private PeerMessage.Cell mLastFrame = new PeerMessage.Cell("", 0, null);

        private Channel(int cell) {
            mCell = cell;
        }

        void send(String address, CellMessage message) {
            if (mLastFrame.message() != message) {
                mLastFrame = new PeerMessage.Cell(mSelf, mCell, message);
            }
            mOutbox.add(address, message instanceof CellMessage.HeartbeatReply, mLastFrame);
        }
    }

    /**
     * Sends a frame. A reply to a heartbeat goes over the connection on which the heartbeat came:
     * it shows the controller that this connection works, so that it needs no ping, and this VM has
     * no second connection that would need one.
     */
    private void send(String address, boolean asReply, PeerMessage frame) {
        Long link = asReply ? mLinkByAddress.get(address) : null;
        if (link == null || !mTransport.reply(link, frame)) {
            mTransport.send(address, frame);
        }
    }

    private final class Listener implements PeerListener {
        @Override
        public void onMessage(long link, PeerMessage message) {
            if (message instanceof PeerMessage.Cell cell) {
                received(link, List.of(cell));
            } else if (message instanceof PeerMessage.Batch batch) {
                received(link, batch.messages());
            }
        }

        private void received(long link, List<PeerMessage.Cell> messages) {
            if (link != 0 && !messages.isEmpty()) {
                mLinkByAddress.put(messages.get(0).from(), link);
            }
            mReceived.accept(messages);
        }

        @Override
        public void onLost(String address, PeerMessage message, boolean sent) {
            // Messages that must arrive are sent again: offers by PendingJobs, the rest through
            // heartbeats.
            sLog.debug("message to {} lost", address);
        }
    }
}
