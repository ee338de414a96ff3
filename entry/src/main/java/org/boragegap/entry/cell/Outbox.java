package org.boragegap.entry.cell;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.boragegap.wire.PeerMessage;

/**
 * Collects the messages to other VMs that one batch of events on the control thread causes, so that
 * each destination is sent one frame. A VM that has no contact with the controllers of eight cells
 * reports this in one frame, not eight; each frame costs both sides a system call and a wake-up.
 * Used by the control thread only.
 */
final class Outbox {
    /** Sends frames to other VMs. */
    interface Sender {
        /**
         * Sends a frame.
         *
         * @param asReply true to use the connection on which that VM last sent something, if open
         */
        void send(String address, boolean asReply, PeerMessage frame);
    }

    private record Destination(String address, boolean asReply) {}

    private final Sender mSender;
    private final Map<Destination, List<PeerMessage.Cell>> mPending = new LinkedHashMap<>();

    Outbox(Sender sender) {
        mSender = sender;
    }

    void add(String address, boolean asReply, PeerMessage.Cell message) {
        mPending.computeIfAbsent(
                        new Destination(address, asReply), destination -> new ArrayList<>(1))
                .add(message);
    }

    /** Sends all; the same messages to several VMs are one frame, which is encoded once. */
    void flush() {
        if (mPending.isEmpty()) {
            return;
        }
        PeerMessage.Batch last = new PeerMessage.Batch(List.of());
        for (Map.Entry<Destination, List<PeerMessage.Cell>> entry : mPending.entrySet()) {
            Destination destination = entry.getKey();
            List<PeerMessage.Cell> messages = entry.getValue();
            if (messages.size() == 1) {
                mSender.send(destination.address(), destination.asReply(), messages.get(0));
                continue;
            }
            if (!sameMessages(last.messages(), messages)) {
                last = new PeerMessage.Batch(messages);
            }
            mSender.send(destination.address(), destination.asReply(), last);
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
