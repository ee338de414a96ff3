package org.boragegap.entry.cell;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.boragegap.wire.PeerMessage;

/**
 * Collects what one turn of the control thread has to say to other VMs, so that each of them gets
 * one frame for it. A VM that misses the controllers of eight cells tells so in one frame, not
 * eight; each frame costs both sides a system call and a wake-up. For the control thread.
 */
final class Outbox {
    /** Sends a frame. */
    interface Sender {
        /**
         * Sends.
         *
         * @param asReply over the connection on which that VM was heard, if it is open
         */
        void send(String address, boolean back, PeerMessage frame);
    }

    private record Destination(String address, boolean asReply) {}

    private final Sender mSender;
    private final Map<Destination, List<PeerMessage.Cell>> mPending = new LinkedHashMap<>();

    Outbox(Sender sender) {
        mSender = sender;
    }

    void add(String address, boolean back, PeerMessage.Cell message) {
        mPending.computeIfAbsent(new Destination(address, back), route -> new ArrayList<>(1))
                .add(message);
    }

    /** Sends all; the same words to several VMs are one frame, which is encoded once. */
    void flush() {
        if (mPending.isEmpty()) {
            return;
        }
        PeerMessage.Batch last = new PeerMessage.Batch(List.of());
        for (Map.Entry<Destination, List<PeerMessage.Cell>> entry : mPending.entrySet()) {
            Destination route = entry.getKey();
            List<PeerMessage.Cell> messages = entry.getValue();
            if (messages.size() == 1) {
                mSender.send(route.address(), route.asReply(), messages.get(0));
                continue;
            }
            if (!sameMessages(last.messages(), messages)) {
                last = new PeerMessage.Batch(messages);
            }
            mSender.send(route.address(), route.asReply(), last);
        }
        mPending.clear();
    }

    private static boolean sameMessages(List<PeerMessage.Cell> one, List<PeerMessage.Cell> other) {
        if (one.size() != other.size()) {
            return false;
        }
        for (int i = 0; i < one.size(); i++) {
            if (one.get(i) != other.get(i)) {
                return false;
            }
        }
        return true;
    }
}
