package org.boragegap.wire;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.boragegap.core.ClockReading;
import org.boragegap.core.cell.CellMessage;
import org.boragegap.core.cell.CrashEvidence;
import org.boragegap.core.cell.JobRequest;
import org.boragegap.core.cell.StepRequest;
import org.boragegap.core.cell.TargetInfo;
import org.boragegap.core.cell.TaskName;
import org.boragegap.core.cell.Verdict;
import org.boragegap.core.claim.Claim;
import org.boragegap.core.claim.ClaimKey;
import org.boragegap.core.claim.ClaimMessage;
import org.boragegap.core.claim.DomainView;
import org.boragegap.core.claim.Member;
import org.boragegap.core.job.Resources;
import org.boragegap.core.placement.LoanMessage;
import org.boragegap.core.records.EarlierTerm;
import org.boragegap.core.records.RecordFrame;

/** Tests that peer messages round-trip through MessagePack and that other bytes are rejected. */
final class PeerCodecProperties {
    private final PeerCodec mCodec = PeerCodec.create();

    private void assertRoundTrips(PeerMessage message) throws WireException {
        assertThat(mCodec.decode(mCodec.encode(message))).isEqualTo(message);
    }

    @Property(tries = 200, seed = "1")
    void claimMessagesRoundTrip(
            @ForAll long high, @ForAll long low, @ForAll long uid, @ForAll boolean complete)
            throws WireException {
        Member member = new Member("127.0.0.1:1", low);
        ClaimKey key = new ClaimKey(high, low);
        Claim claim = new Claim(key, member, uid, high, low);
        DomainView view = new DomainView(high, uid, low, List.of(member), List.of(), high);
        List<ClaimMessage> messages =
                List.of(
                        new ClaimMessage.Request(uid, claim),
                        new ClaimMessage.Granted(uid, key, low),
                        new ClaimMessage.Held(key, low, claim),
                        new ClaimMessage.Release(key, uid),
                        new ClaimMessage.ViewIs(view, complete, high, low, uid),
                        new ClaimMessage.LogReadQuery(uid, high),
                        new ClaimMessage.LogReadAge(uid, high, low),
                        new ClaimMessage.Join(),
                        new ClaimMessage.Leave(),
                        new ClaimMessage.Fetch(uid, low),
                        new ClaimMessage.Claims(uid, low, 0, 1, List.of(claim)));
        for (ClaimMessage message : messages) {
            assertRoundTrips(new PeerMessage.Claims(member, message));
        }
    }

    @Property(tries = 200, seed = "2")
    void loanMessagesRoundTrip(@ForAll int count, @ForAll long id) throws WireException {
        Resources need = new Resources(count, count, count);
        LoanMessage.Line line = new LoanMessage.Line(id, "t:1", need, count, id);
        assertRoundTrips(new PeerMessage.Loans("a:1", new LoanMessage.Ask("s", need, count)));
        assertRoundTrips(new PeerMessage.Loans("a:1", new LoanMessage.Given("s", List.of(line))));
        LoanMessage.Return back = new LoanMessage.Return(id, count, 0);
        assertRoundTrips(new PeerMessage.Loans("a:1", new LoanMessage.Back(List.of(back))));
        assertRoundTrips(new PeerMessage.Loans("a:1", new LoanMessage.Recall("s", count)));
    }

    private static JobRequest job(String text, int count, long number, Optional<String> label) {
        int tasks = Math.max(1, count & Integer.MAX_VALUE);
        long estimateMs = number & Long.MAX_VALUE;
        StepRequest first =
                new StepRequest(tasks, tasks, 2, 3, estimateMs, List.of(), label, label, 4);
        StepRequest second =
                new StepRequest(tasks, 1, tasks, 3, estimateMs, List.of(0), label, label, tasks);
        StepRequest third =
                new StepRequest(1, 1, 2, tasks, estimateMs, List.of(0, 1), label, label, 4);
        List<StepRequest> steps = List.of(first, second, third);
        return new JobRequest(text, "q", "s", 1, count, 1.5, number, text, steps, number);
    }

    @Property(tries = 200, seed = "4")
    void cellMessagesRoundTrip(
            @ForAll long number, @ForAll int count, @ForAll boolean flag, @ForAll String text)
            throws WireException {
        ClockReading clock = new ClockReading(number, -number);
        TaskName task = new TaskName(text, count, 1, 2);
        Optional<String> label = flag ? Optional.of(text) : Optional.empty();
        JobRequest job = job(text, count, number, label);
        TargetInfo target =
                new TargetInfo(
                        text, "h:1", "s", "d", count, 1, 2, Set.of("a", text), flag, !flag, number);
        CellMessage.LentTarget lent = new CellMessage.LentTarget(number, target, 5);
        List<CellMessage> messages =
                List.of(
                        new CellMessage.Offer(number, job, 1, 2, count, number),
                        new CellMessage.Withdraw(text),
                        new CellMessage.Decided(text, number, new Verdict.Completed()),
                        new CellMessage.Decided(text, number, new Verdict.Failed(text)),
                        new CellMessage.Decided(text, 1, new Verdict.Declined(text, number)),
                        new CellMessage.Decided(text, number, new Verdict.InDoubt(text)),
                        new CellMessage.Heartbeat(number, clock, 150),
                        new CellMessage.Heartbeat(number, clock, 150, count),
                        new CellMessage.Leaving(number),
                        new CellMessage.ControllerMissing(number, count),
                        new CellMessage.Targets(number, 1, List.of(target, target)),
                        new CellMessage.Crashed(task, text, CrashEvidence.CONFIRMED),
                        new CellMessage.Crashed(task, text, CrashEvidence.POSSIBLE),
                        new CellMessage.Crashed(task, text, CrashEvidence.COINCIDENT),
                        new CellMessage.HeartbeatReply(number, clock, flag, !flag, 1, number, 3),
                        new CellMessage.StartRecords(
                                number,
                                new RecordFrame(number, number, EarlierTerm.NONE, 0, 1, List.of())),
                        new CellMessage.StartRecords(
                                1,
                                new RecordFrame(
                                        1,
                                        number,
                                        new EarlierTerm(number, 1, number),
                                        1,
                                        2,
                                        List.of(text, "a"))),
                        new CellMessage.StartRecordsReceived(number, count),
                        new CellMessage.HeartbeatReply(
                                number, clock, flag, !flag, 1, number, 3, flag),
                        new CellMessage.LoanRequest(
                                count, number, 1, 2, text, count, 3, List.of(number, 4L)),
                        new CellMessage.LoanGrant(
                                count, number, 1, 2, 3, List.of(lent, lent), List.of(number)),
                        new CellMessage.LoanReturn(count, number, 1, List.of(number, 2L)),
                        new CellMessage.LoanRecall(count, number, List.of(number, 2L)));
        List<PeerMessage.Cell> cells =
                messages.stream().map(one -> new PeerMessage.Cell("h:1", count, one)).toList();
        for (PeerMessage.Cell cell : cells) {
            assertRoundTrips(cell);
        }
        assertRoundTrips(new PeerMessage.Batch(cells));
    }

    @Example
    void everyCellMessageHasOneEncoding() {
        for (Class<?> type : CellMessage.class.getPermittedSubclasses()) {
            long encodings =
                    Arrays.stream(CellFields.values()).filter(fields -> fields.isFor(type)).count();
            assertWithMessage(type.getSimpleName()).that(encodings).isEqualTo(1);
        }
    }

    @Property(tries = 200, seed = "5")
    void truncatedFrameIsRejected(@ForAll @IntRange(min = 1, max = 20) int missing)
            throws WireException {
        CellMessage withdraw = new CellMessage.Withdraw("00000000000000a1");
        byte[] frame = mCodec.encode(new PeerMessage.Cell("127.0.0.1:7720", 3, withdraw));
        byte[] truncated = Arrays.copyOf(frame, frame.length - missing);
        assertThrows(WireException.class, () -> mCodec.decode(truncated));
    }

    @Property(tries = 2_000, seed = "3")
    void arbitraryBytesCauseOnlyWireExceptions(@ForAll @Size(max = 200) byte[] bytes) {
        try {
            mCodec.decode(bytes);
        } catch (WireException e) {
            assertThat(e).hasMessageThat().isNotEmpty();
        }
    }
}
