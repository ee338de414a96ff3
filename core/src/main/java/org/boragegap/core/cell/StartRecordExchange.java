package org.boragegap.core.cell;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.boragegap.core.ClockReading;
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
    void termBegan(long nowMs) {
        long coveredMs = mSender.coveredMs(evictedMs(), nowMs);
        mKnown.termBegan(mPendingJobs.mayHaveStartedSince(sinceMs(nowMs)), coveredMs, nowMs);
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
    List<CellMessage> toController(long fence, long nowMs) {
        if (fence > mPendingJobs.fence()) {
            Set<String> jobs =
                    new LinkedHashSet<>(mPendingJobs.mayHaveStartedSince(sinceMs(nowMs)));
            jobs.addAll(mController.startedSince(sinceMs(nowMs)));
            mSender.termHeard(fence, jobs, evictedMs());
        }
        return mSender.unacknowledged(fence, nowMs).stream()
                .<CellMessage>map(frame -> new CellMessage.StartRecords(fence, frame))
                .toList();
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
