package org.boragegap.entry.cell;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.boragegap.core.ClockReading;
import org.boragegap.core.cell.CellMessage;
import org.boragegap.wire.PeerCodec;
import org.boragegap.wire.PeerMessage;
import org.junit.jupiter.api.Test;

/**
 * Guards against a frame for each message when 47 VMs with eight cells start: until controllers are
 * known, each VM reports to the others, for each cell, that it has no contact with a controller.
 * Messages to one VM that are flushed together are one frame, and the same messages to several VMs
 * are encoded once.
 */
final class OutboxTest {
    private record Sent(String address, boolean asReply, PeerMessage frame) {}

    private final List<Sent> mSent = new ArrayList<>();
    private final Outbox mOutbox =
            new Outbox((address, asReply, frame) -> mSent.add(new Sent(address, asReply, frame)));

    private static PeerMessage.Cell controllerMissing(int cell) {
        return new PeerMessage.Cell("vm1", cell, new CellMessage.ControllerMissing(7, 1_500));
    }

    @Test
    void messagesAboutEightCellsToOneVmAreOneFrameInOrder() {
        List<PeerMessage.Cell> messages = new ArrayList<>();
        for (int cell = 0; cell < 8; cell++) {
            messages.add(controllerMissing(cell));
            mOutbox.add("vm2", false, messages.get(cell));
        }
        mOutbox.flush();
        assertThat(mSent).containsExactly(new Sent("vm2", false, new PeerMessage.Batch(messages)));
    }

    @Test
    void theSameMessagesToSeveralVmsShareOneFrame() {
        PeerMessage.Cell one = controllerMissing(0);
        PeerMessage.Cell two = controllerMissing(1);
        for (String address : List.of("vm2", "vm3", "vm4")) {
            mOutbox.add(address, false, one);
            mOutbox.add(address, false, two);
        }
        mOutbox.flush();
        assertThat(mSent).hasSize(3);
        assertThat(mSent.get(1).frame()).isSameInstanceAs(mSent.get(0).frame());
        assertThat(mSent.get(2).frame()).isSameInstanceAs(mSent.get(0).frame());
    }

    @Test
    void differentMessagesAreDifferentFrames() {
        mOutbox.add("vm2", false, controllerMissing(0));
        mOutbox.add("vm2", false, controllerMissing(1));
        mOutbox.add("vm3", false, controllerMissing(0));
        mOutbox.add("vm3", false, controllerMissing(2));
        mOutbox.flush();
        assertThat(mSent.get(1).frame()).isNotEqualTo(mSent.get(0).frame());
    }

    @Test
    void flushedMessagesAreNotSentAgain() {
        mOutbox.add("vm2", true, controllerMissing(0));
        mOutbox.flush();
        mOutbox.flush();
        assertThat(mSent).containsExactly(new Sent("vm2", true, controllerMissing(0)));
    }

    @Test
    void aFrameOfSeveralMessagesRoundTrips() throws Exception {
        CellMessage.Heartbeat leading = new CellMessage.Heartbeat(9, new ClockReading(5, 6), 150);
        PeerMessage.Batch batch =
                new PeerMessage.Batch(
                        List.of(controllerMissing(0), new PeerMessage.Cell("a", 3, leading)));
        PeerCodec codec = PeerCodec.create();
        assertThat(codec.decode(codec.encode(batch))).isEqualTo(batch);
    }
}
