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

/** What this VM and the other entry VMs say to each other about cells. */
final class CellPeers {
    private static final Logger sLog = LogManager.getLogger(CellPeers.class);

    private final String mSelf;
    private final PeerTransport mTransport;
    private final Consumer<List<PeerMessage.Cell>> mReceived;
    private final Outbox mOutbox = new Outbox(this::send);

    /** By peer address, the connection on which that VM last sent something. */
    private final Map<String, Long> mLinkByAddress = new ConcurrentHashMap<>();

    /**
     * Makes the peers' side of a process that is not started.
     *
     * @param host address to listen on
     * @param self peer address of this VM
     * @param received takes what came in one frame, on any thread
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

    /** Looks for connections that have gone silent; to be called some times a second. */
    void probe(long nowMs) {
        mTransport.probe(nowMs);
    }

    /** Sends what was said since the last call; for the control thread. */
    void flush() {
        mOutbox.flush();
    }

    /** The voice of one cell. For the control thread. */
    Channel channel(int cell) {
        return new Channel(cell);
    }

    /** Says things about one cell; they go out with the next {@link #flush}. */
    final class Channel {
        private final int mCell;

        /** The last frame: one message to all peers is one frame, which is encoded once. */
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
     * Sends a frame. An answer to a heartbeat goes back over the connection on which that came: the
     * controller sees by it that the connection works and needs no ping, and this VM none for
     * another one.
     */
    private void send(String address, boolean back, PeerMessage frame) {
        Long link = back ? mLinkByAddress.get(address) : null;
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
            // Whatever matters is sent again: offers by the desk, the rest by heartbeats.
            sLog.debug("a message to {} is lost", address);
        }
    }
}
