package org.boragegap.core.cell;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.boragegap.core.ClockReading;
import org.boragegap.core.records.EarlierTerm;
import org.boragegap.core.records.KnownRecords;
import org.boragegap.core.records.RecordFrame;
import org.boragegap.core.records.RecordSender;

/**
 * Start records of one VM and their messages: it sends its own to the controller of a new term, and
 * collects those of the others while it controls the cell itself.
 */
final class StartRecordExchange {
    private final String mSelf;
    private final PendingJobs mPendingJobs;
    private final CellController mController;
    private final KnownRecords mKnown;
    private final RecordSender mSender;
    private Optional<OwnTerm> mLastTerm = Optional.empty();

    /**
     * The last term of this VM in which it started tasks.
     *
     * @param held when the last join that confirmed the term was sent
     * @param reliableFromMs see {@link KnownRecords#reliableFromMs}
     */
    private record OwnTerm(long fence, ClockReading held, OptionalLong reliableFromMs) {
        /**
         * Both clocks count, because the monotonic one stands still while the process is paused,
         * and another controller may have acted meanwhile.
         */
        EarlierTerm at(ClockReading clock) {
            long heldAgoMs =
                    Math.max(
                            clock.monotonicMs() - held.monotonicMs(),
                            clock.wallMs() - held.wallMs());
            return new EarlierTerm(fence, heldAgoMs, reliableAgoMs(clock.monotonicMs()));
        }

        private long reliableAgoMs(long nowMs) {
            if (reliableFromMs.isEmpty()) {
                return EarlierTerm.NEVER;
            }
            long fromMs = reliableFromMs.getAsLong();
            return fromMs == Long.MIN_VALUE ? RecordSender.UNLIMITED_MS : nowMs - fromMs;
        }
    }

    StartRecordExchange(
            String self,
            PendingJobs pendingJobs,
            CellController controller,
            KnownRecords known,
            ClockReading start) {
        mSelf = self;
        mPendingJobs = pendingJobs;
        mController = controller;
        mKnown = known;
        mSender = RecordSender.create(start);
    }

    /** See {@link CellMember#firstStart}. */
    void firstStart() {
        mSender.firstStart();
    }

    /** See {@link KnownRecords#membersListed}. */
    void membersListed(MemberEvent.PeersListed listed, long nowMs) {
        mKnown.membersListed(listed.peers(), listed.askedMs(), nowMs);
    }

    /** Begins a term of this VM with its own records. */
    void termBegan(ClockReading clock) {
        long nowMs = clock.monotonicMs();
        long coveredMs = mSender.coveredMs(evictedMs(), nowMs);
        mKnown.termBegan(
                mPendingJobs.mayHaveStartedSince(sinceMs(nowMs)),
                coveredMs,
                lastTerm(clock),
                nowMs);
    }

    /**
     * A term of this VM has ended in which it may have started tasks.
     *
     * @param held when the last join that confirmed the term was sent
     */
    void termEnded(long fence, Optional<ClockReading> held) {
        mLastTerm = held.map(sent -> new OwnTerm(fence, sent, mKnown.reliableFromMs()));
    }

    private EarlierTerm lastTerm(ClockReading clock) {
        return mLastTerm.map(term -> term.at(clock)).orElse(EarlierTerm.NONE);
    }

    private static long sinceMs(long nowMs) {
        return nowMs - KnownRecords.RETURN_WINDOW_MS;
    }

    private long evictedMs() {
        return Math.max(mPendingJobs.evictedMs(), mController.evictedMs());
    }

    /**
     * Messages to the controller that has sent a heartbeat: the records that it has not
     * acknowledged. Has to be called before the pending jobs are offered to a new term, since those
     * are not records of an earlier one.
     *
     * @param fence fencing token in the heartbeat
     */
    List<CellMessage> toController(long fence, ClockReading clock) {
        long nowMs = clock.monotonicMs();
        if (fence > mPendingJobs.fence()) {
            mSender.termHeard(fence, mayHaveStarted(nowMs), evictedMs());
        }
        return mSender.unacknowledged(fence, lastTerm(clock), nowMs).stream()
                .<CellMessage>map(frame -> new CellMessage.StartRecords(fence, frame))
                .toList();
    }

    private Set<String> mayHaveStarted(long nowMs) {
        long sinceMs = sinceMs(nowMs);
        Set<String> jobs = new LinkedHashSet<>(mPendingJobs.mayHaveStartedSince(sinceMs));
        jobs.addAll(mController.startedSince(sinceMs));
        mLastTerm.ifPresent(
                term -> jobs.addAll(mKnown.mayHaveStartedSince(sinceMs, term.reliableFromMs())));
        return jobs;
    }

    /** True for messages that concern records alone. */
    static boolean handles(CellMessage message) {
        return message instanceof CellMessage.StartRecords
                || message instanceof CellMessage.StartRecordsReceived;
    }

    /** Takes what a message tells about records; returns the receipt to send, if one is due. */
    Optional<CellMessage> received(String from, CellMessage message, long nowMs) {
        if (!from.equals(mSelf)) {
            mKnown.peerHeard(from, nowMs);
        }
        if (message instanceof CellMessage.StartRecordsReceived receipt) {
            mSender.acknowledged(receipt.fence(), receipt.frame());
        } else if (message instanceof CellMessage.StartRecords records
                && mController.fence().filter(own -> own == records.fence()).isPresent()) {
            RecordFrame frame = records.frame();
            mKnown.received(from, frame, nowMs);
            return Optional.of(
                    new CellMessage.StartRecordsReceived(records.fence(), frame.number()));
        }
        return Optional.empty();
    }
}
