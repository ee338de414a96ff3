package org.boragegap.core.cell;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;

/** Keeps the list of targets, extends their leases and asks for their reports. */
final class LeaseManager {
    /** Lease that each order asks for, in ms; targets grant a second at the most. */
    static final long LEASE_MS = 1_000;

    /**
     * How long a target may wait for an end before it answers a lease call, in ms. A lost call is
     * noticed and sent again while over a quarter of the lease is left.
     */
    private static final long LONG_POLL_MS = 300;

    /**
     * Least time that a target may wait for an end while answers are lost, in ms. A lost call
     * leaves the controller blind for as long as the target was allowed to wait, so it is sent
     * again soon after the next end is expected.
     */
    private static final long MIN_LONG_POLL_MS = 15;

    /**
     * The same where nothing runs, in ms: there is no lease to be extended, and a target that has
     * died shows by its first start without an answer. It buys fewer calls. Not longer, since each
     * start that goes to a dead one costs its caller a second.
     */
    private static final long IDLE_LONG_POLL_MS = 1_000;

    /** Pause before a failed lease call is sent again, in ms. */
    private static final long RETRY_DELAY_MS = 100;

    /** An end that is heard of this much later, in ms, still tells how long a run took. */
    private static final long EXACT_END_TOLERANCE_MS = 10;

    /** Kept after the computed end of a lease, in ms: rounding of two clocks to milliseconds. */
    private static final long LEASE_SLACK_MS = 20;

    /**
     * How long a target that left the platform's list may still be given work, in ms. Entries that
     * lapsed while the list was away come back within two seconds.
     */
    private static final long UNLISTED_GRACE_MS = 2_500;

    /** How long an entry in the list may outlast its target, in ms; stale reads included. */
    private static final long STALE_ENTRY_MS = 60_000;

    /**
     * A target is given no work for this time after it was first seen, in ms: the other entry VMs
     * are told of it first, so that a next controller knows where to look for what runs.
     */
    private static final long ANNOUNCEMENT_DELAY_MS = 200;

    private final Term mTerm;
    private final RunTracker mRuns;
    private final CrashDetector mCrashes;
    private final LongSupplier mCallNumbers;
    private List<TargetInfo> mAnnounced = List.of();

    /** Targets that are gone for good, and since when; the list may still name them. */
    private final Map<String, Long> mReplaced = new HashMap<>();

    /**
     * Makes a keeper.
     *
     * @param callNumbers a new number for each call, over all terms of this VM: an answer to a call
     *     of an earlier term says nothing of this one
     */
    LeaseManager(Term term, RunTracker runs, CrashDetector crashes, LongSupplier callNumbers) {
        mTerm = term;
        mRuns = runs;
        mCrashes = crashes;
        mCallNumbers = callNumbers;
    }

    /**
     * Takes the targets that the controller before had, which all other entry VMs know of. They are
     * told again as those of this term: the next controller goes by the last term's list alone.
     */
    void inherit(List<TargetInfo> infos) {
        for (TargetInfo info : infos) {
            Target target = new Target(info, mTerm.nowMs(), earlierLeaseEndMs());
            mTerm.targets().put(info.id(), target);
            sendLongPoll(target);
        }
        announceTargets();
    }

    void updateTargets(List<TargetInfo> infos) {
        mTerm.targetsListed();
        Set<String> ids = new HashSet<>();
        for (TargetInfo info : infos) {
            ids.add(info.id());
            if (mReplaced.containsKey(info.id())) {
                continue;
            }
            Target known = mTerm.targets().get(info.id());
            if (known == null) {
                long openMs = mTerm.nowMs() + ANNOUNCEMENT_DELAY_MS;
                Target target = new Target(info, openMs, earlierLeaseEndMs());
                mTerm.targets().put(info.id(), target);
                mTerm.targetAppeared(info);
                mCrashes.newTargetListed(info);
                sendLongPoll(target);
            } else {
                logDrainStart(known, info);
                known.updateInfo(info);
            }
        }
        for (Target target : mTerm.targets().values()) {
            if (!ids.contains(target.id())) {
                target.markUnlisted(mTerm.nowMs());
            }
        }
        announceTargets();
    }

    /** Until when a lease that an earlier controller gave just now may last. */
    private long earlierLeaseEndMs() {
        return mTerm.nowMs() + (long) Math.ceil(LEASE_MS / Target.MIN_CLOCK_RATE);
    }

    private void announceTargets() {
        List<TargetInfo> infos = new ArrayList<>();
        mTerm.targets().values().forEach(target -> infos.add(target.info()));
        if (!infos.equals(mAnnounced)) {
            mAnnounced = infos;
            mTerm.emit(new CellAction.BroadcastTargets(infos));
        }
    }

    private void logDrainStart(Target known, TargetInfo info) {
        if (info.draining() && !known.info().draining()) {
            mTerm.log(Decision.target("drain", info.id(), "listed=draining", "starts nothing"));
        }
    }

    /**
     * Asks for a report at once, beside the standing call, unless one was just asked for. A target
     * that is silent is asked by the standing call alone, which is repeated: asked for each of its
     * runs in every turn, it had no connection left when it was back after a cut.
     */
    void requestReport(Target target) {
        boolean silent = target.calls().unresponsive();
        if (!silent
                && !target.calls()
                        .reportRequestPending(mTerm.nowMs(), target.roundTrips().timeoutMs())) {
            requestNewReport(target);
        }
    }

    /** Asks for a report at once: one that is under way was asked for too early. */
    void requestNewReport(Target target) {
        target.calls().reportRequestSent(send(target, 0));
    }

    private void sendLongPoll(Target target) {
        target.calls().longPollSent(send(target, target.reported() ? longPollWaitMs(target) : 0));
    }

    /** How long the target may hold the standing call back. */
    private long longPollWaitMs(Target target) {
        if (target.calls().unresponsive()) {
            return 0;
        }
        if (!target.busy()) {
            boolean doubtful = mTerm.hasRecentLosses() || target.calls().lastOrderFailed();
            return doubtful ? LONG_POLL_MS : IDLE_LONG_POLL_MS;
        }
        if (!mTerm.hasRecentLosses() || target.runs().isEmpty()) {
            return LONG_POLL_MS;
        }
        long endMs = mRuns.expectedNextEndMs(target);
        return Math.max(
                MIN_LONG_POLL_MS, Math.min(LONG_POLL_MS, endMs - mTerm.nowMs() + MIN_LONG_POLL_MS));
    }

    /**
     * Sends a lease call. One to a silent target extends nothing: each call may have reached it, so
     * with each that did extend, the lease of a target that had crashed was never over, and its
     * tasks started nowhere else until it was back.
     */
    private LeaseCalls.Call send(Target target, long waitMs) {
        long call = mCallNumbers.getAsLong();
        long untilMs = 0;
        if (target.reported() && !target.calls().unresponsive()) {
            untilMs =
                    target.leaseEndOnTargetClock(mTerm.nowMs(), LEASE_MS, mTerm.exclusiveUntilMs());
            target.leaseSent(untilMs);
        }
        mTerm.emit(
                new CellAction.ExtendLease(
                        target.info(),
                        call,
                        mTerm.fence(),
                        untilMs,
                        target.acknowledged(),
                        waitMs));
        return new LeaseCalls.Call(call, mTerm.nowMs(), waitMs);
    }

    void leaseExtended(CellEvent.LeaseExtended event) {
        Target target = mTerm.targets().get(event.target());
        if (target == null) {
            return;
        }
        target.calls()
                .complete(event.call())
                .ifPresent(call -> leaseExtended(target, call, event.report()));
    }

    private void leaseExtended(Target target, LeaseCalls.Call call, TargetReport report) {
        boolean first = !target.reported();
        if (first || target.lost()) {
            mTerm.log(Decision.target("target", target.id(), "report=yes", "in use"));
            mCrashes.targetAnswered(target);
        }
        if (call.waitMs() == 0) {
            target.roundTrips().add(mTerm.nowMs() - call.sentMs());
        }
        boolean exact = endsAreExact(target, call);
        boolean inOrder = target.updateClock(report.clockMs(), mTerm.nowMs());
        targetAnswered(target);
        if (inOrder) {
            mRuns.reported(target, report, call.sentMs(), exact);
        } else {
            // Overtaken by a later report: what it says to have ended has, but a run that it
            // doesn't list may have begun since, so it proves no absence.
            mRuns.ended(target, report, exact);
        }
        if (first || target.calls().longPollDue(mTerm.nowMs())) {
            // The first answer tells the target's clock; no call before could extend its lease.
            sendLongPoll(target);
        }
    }

    /** The target has answered an order. */
    void targetAnswered(Target target) {
        if (target.calls().answered(mTerm.nowMs())) {
            mTerm.recordLostAnswer();
        }
    }

    /**
     * True when what this answer says to have ended has ended just now: the target held the call
     * back until then, or was heard of a moment before.
     */
    private boolean endsAreExact(Target target, LeaseCalls.Call call) {
        boolean held = call.wasHeld(mTerm.nowMs(), target.roundTrips().timeoutMs());
        return held || mTerm.nowMs() - target.calls().answeredMs() <= EXACT_END_TOLERANCE_MS;
    }

    void leaseFailed(CellEvent.LeaseFailed event) {
        Target target = mTerm.targets().get(event.target());
        if (target == null || target.calls().complete(event.call()).isEmpty()) {
            return;
        }
        if (event.cause() != OrderResult.UNKNOWN) {
            // A call without an answer was replaced already, when it was overdue.
            target.calls().delayLongPoll(mTerm.nowMs() + RETRY_DELAY_MS);
        }
        if (event.cause() == OrderResult.NOT_SENT) {
            target.calls().notSent();
        }
        if (event.cause() == OrderResult.FENCED) {
            mTerm.emit(new CellAction.Deposed());
        } else if (event.cause() == OrderResult.OTHER_INCARNATION) {
            targetReplaced(target);
        }
    }

    /** Another incarnation answers at the target's address: all that ran there has ended. */
    void targetReplaced(Target target) {
        List<LostRun> runs = mCrashes.recordLoss(target);
        mRuns.releaseAll(target, "another incarnation");
        mTerm.targets().remove(target.id());
        mReplaced.put(target.id(), mTerm.nowMs());
        mTerm.expectSuccessor(target.info());
        mCrashes.targetReplaced(target.info(), runs);
    }

    void tick() {
        mReplaced.values().removeIf(sinceMs -> mTerm.nowMs() - sinceMs > STALE_ENTRY_MS);
        for (Target target : new ArrayList<>(mTerm.targets().values())) {
            if (isExpired(target)) {
                mTerm.log(
                        Decision.target(
                                "lapse",
                                target.id(),
                                "silent_ms=" + (mTerm.nowMs() - target.calls().answeredMs()),
                                "its runs start elsewhere"));
                mCrashes.recordLeaseExpiry(target);
                mRuns.releaseAll(target, "lease over");
            }
            boolean gone = target.unlistedFor(mTerm.nowMs(), UNLISTED_GRACE_MS);
            if (gone && target.runs().isEmpty()) {
                mTerm.log(Decision.target("forget", target.id(), "listed=no", "not in use"));
                mTerm.targets().remove(target.id());
            } else {
                renewLongPoll(target);
            }
        }
    }

    /**
     * True when all that the target ran is over. Guards against a sound target that is taken for
     * lost while it holds a standing call for a second: nothing on it needs a lease, and the one
     * that the call gave may end before the answer comes. One whose answer is overdue lapses as any
     * other.
     */
    private boolean isExpired(Target target) {
        boolean idle = !target.busy() && !target.calls().lastOrderFailed();
        return !target.lost() && !idle && target.leaseExpired(mTerm.nowMs(), LEASE_SLACK_MS);
    }

    private void renewLongPoll(Target target) {
        target.calls().dropOverdueLongPoll(mTerm.nowMs(), target.roundTrips().timeoutMs());
        if (target.calls().longPollDue(mTerm.nowMs()) || longPollTooLong(target)) {
            sendLongPoll(target);
        }
    }

    /**
     * True when the standing call was sent while nothing ran, and something has run since for as
     * long as such a call is held back at the most. Guards against the lapse of that run's lease,
     * which lasts for a second from its start, and against an end that goes unheard if the call was
     * lost on its way. A shorter run needs no further call: its end answers the standing one.
     */
    private boolean longPollTooLong(Target target) {
        return target.busy()
                && target.calls()
                        .longPollTooLong(mTerm.nowMs(), target.busySinceMs(), LONG_POLL_MS);
    }

    /** True when each known target has reported in this term. */
    boolean allReported() {
        for (Target target : mTerm.targets().values()) {
            if (!target.reported()) {
                return false;
            }
        }
        return !mTerm.targets().isEmpty();
    }
}
