package org.boragegap.core.cell;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;
import org.boragegap.core.loan.BorrowedTarget;

/** Maintains the list of targets, extends their leases and requests their reports. */
final class LeaseManager {
    /** Lease that each order requests, in ms; targets grant a second at most. */
    static final long LEASE_MS = 1_000;

    /**
     * How long a target may wait for a run to end before it answers a lease call, in ms. A lost
     * call is noticed and sent again while more than a quarter of the lease is left.
     */
    private static final long LONG_POLL_MS = 300;

    /**
     * Minimum time that a target may wait for a run to end while answers are being lost, in ms.
     * After a lost call the controller hears nothing for as long as the target was allowed to wait,
     * so the next call is due soon after the next run is expected to end.
     */
    private static final long MIN_LONG_POLL_MS = 15;

    /**
     * How long an idle target may wait before it answers a lease call, in ms. It has no lease to be
     * extended, and a target that has died is detected by the first start that it does not answer,
     * so the longer wait only saves calls. It is not longer still, since each start that is sent to
     * a dead target costs the caller a second.
     */
    private static final long IDLE_LONG_POLL_MS = 1_000;

    /** Delay before a failed lease call is sent again, in ms. */
    private static final long RETRY_DELAY_MS = 100;

    /**
     * An end that is reported with at most this delay, in ms, still shows how long the run took.
     */
    private static final long EXACT_END_TOLERANCE_MS = 10;

    /**
     * Added to the computed end of a lease, in ms, since two clocks are rounded to milliseconds.
     */
    private static final long LEASE_SLACK_MS = 20;

    /**
     * How long a target that left the platform's list may still be given work, in ms. Entries that
     * expired while the list was unavailable come back within two seconds.
     */
    private static final long UNLISTED_GRACE_MS = 2_500;

    /** How long an entry in the list may outlast its target, in ms, including stale reads. */
    private static final long STALE_ENTRY_MS = 60_000;

    /**
     * How long a target is given no work after it was first seen, in ms: it is announced to the
     * other entry VMs first, so that the next controller knows where to look for active runs.
     */
    private static final long ANNOUNCEMENT_DELAY_MS = 200;

    private final Term mTerm;
    private final RunTracker mRuns;
    private final CrashDetector mCrashes;
    private final LongSupplier mCallNumbers;
    private final TargetAnnouncer mAnnouncer;

    /**
     * Replaced targets by the name of their incarnation, with the time of replacement; the list may
     * still contain them.
     */
    private final Map<String, Long> mReplaced = new HashMap<>();

    /**
     * Creates a manager.
     *
     * @param callNumbers supplies a number for each call that is unique over all terms of this VM:
     *     an answer to a call of an earlier term says nothing about this one
     */
    LeaseManager(Term term, RunTracker runs, CrashDetector crashes, LongSupplier callNumbers) {
        mTerm = term;
        mRuns = runs;
        mCrashes = crashes;
        mCallNumbers = callNumbers;
        mAnnouncer = new TargetAnnouncer(term);
    }

    /**
     * Takes over the targets of the previous controller, which all other entry VMs know. They are
     * announced again as those of this term, since the next controller uses only the list of the
     * last term.
     */
    void inherit(List<TargetInfo> infos) {
        for (TargetInfo info : infos) {
            Target target = new Target(info, mTerm.nowMs(), mTerm.earlierLeaseEndMs());
            mTerm.targets().put(info.id(), target);
            sendLongPoll(target);
        }
        mAnnouncer.announceChanges();
    }

    void updateTargets(List<TargetInfo> infos) {
        mTerm.targetsListed();
        Set<String> ids = new HashSet<>();
        for (TargetInfo info : infos) {
            ids.add(info.id());
            if (mReplaced.containsKey(info.incarnationName()) || updateLent(info)) {
                continue;
            }
            Target known = mTerm.targets().get(info.id());
            if (known == null) {
                long schedulableFromMs = mTerm.nowMs() + ANNOUNCEMENT_DELAY_MS;
                Target target = new Target(info, schedulableFromMs, mTerm.earlierLeaseEndMs());
                mTerm.targets().put(info.id(), target);
                mTerm.unansweredStarts().carryOver(target).forEach(mRuns::stop);
                mTerm.targetAppeared(info);
                mCrashes.newTargetListed(info);
                sendLongPoll(target);
            } else if (known.isEarlierThan(info.incarnation())) {
                laterIncarnation(known, info);
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
        mAnnouncer.announceChanges();
    }

    /** Updates what is known of a lent target, which is not called; false for any other. */
    private boolean updateLent(TargetInfo info) {
        Term.LentTarget lent =
                mTerm.lentTargets()
                        .computeIfPresent(
                                info.id(), (id, old) -> new Term.LentTarget(info, old.speed()));
        return lent != null;
    }

    /**
     * Begins to use a target that was borrowed.
     *
     * @param leaseLeftMs how long the lease may last that its lender has granted, in ms
     */
    void borrow(TargetInfo info, BorrowedTarget loan, long leaseLeftMs) {
        Target target = new Target(info, mTerm.nowMs(), mTerm.earlierLeaseEndMs());
        target.otherCellsLeaseUntil(mTerm.nowMs() + leaseLeftMs);
        target.borrow(loan);
        mTerm.targets().put(info.id(), target);
        sendLongPoll(target);
    }

    /** Stops using a target that is lent. */
    void lend(Target target) {
        mTerm.targets().remove(target.id());
        mTerm.lentTargets().put(target.id(), new Term.LentTarget(target.info(), target.speed()));
    }

    /**
     * Uses a target again that was lent. All that was known of its runs and its lease is out of
     * date: its borrower has used it until just now.
     */
    void takeBack(String id) {
        Term.LentTarget lent = mTerm.lentTargets().remove(id);
        Target target = new Target(lent.info(), mTerm.nowMs(), mTerm.earlierLeaseEndMs());
        target.assumeSpeed(lent.speed());
        mTerm.targets().put(id, target);
        sendLongPoll(target);
    }

    /**
     * Handles an order that was rejected because the target has seen a higher fencing token: ends
     * the loan of a borrowed target, whose lender was replaced, or else the term.
     *
     * @return true when the target is borrowed
     */
    boolean fenced(Target target) {
        if (target.loan().isEmpty()) {
            mTerm.emit(new CellAction.Deposed(target.id()));
            return false;
        }
        BorrowedTarget loan = target.loan().get();
        loan.end();
        mTerm.log(
                Decision.target(
                        "loan-fenced",
                        target.id(),
                        "cell=" + loan.lenderCell() + " fence=" + loan.lenderFence(),
                        "not called any more"));
        return true;
    }

    private void logDrainStart(Target known, TargetInfo info) {
        if (info.draining() && !known.info().draining()) {
            mTerm.log(Decision.target("drain", info.id(), "listed=draining", "gets no new work"));
        }
    }

    /**
     * Requests a report immediately, beside the long poll, unless one was just requested. An
     * unresponsive target is only sent the long poll, which is repeated: when a report was
     * requested for each of its runs on every tick, the target had no connection left once it was
     * reachable again after a network partition.
     */
    void requestReport(Target target) {
        boolean unresponsive = target.calls().unresponsive();
        if (!unresponsive
                && !target.calls()
                        .reportRequestPending(mTerm.nowMs(), target.roundTrips().timeoutMs())) {
            requestNewReport(target);
        }
    }

    /**
     * Requests a report immediately, even if one is pending: that one was requested too early to
     * show the current state.
     */
    void requestNewReport(Target target) {
        if (!target.mayCall(mTerm.nowMs())) {
            return;
        }
        target.calls().reportRequestSent(send(target, 0));
    }

    private void sendLongPoll(Target target) {
        if (!target.mayCall(mTerm.nowMs())) {
            return;
        }
        target.calls().longPollSent(send(target, target.reported() ? longPollWaitMs(target) : 0));
    }

    /** How long the target may hold back the long poll, in ms. */
    private long longPollWaitMs(Target target) {
        if (target.calls().unresponsive()) {
            return 0;
        }
        if (!target.busy()) {
            boolean answersMayBeLost = mTerm.hasRecentLosses() || target.calls().lastOrderFailed();
            return answersMayBeLost ? LONG_POLL_MS : IDLE_LONG_POLL_MS;
        }
        if (!mTerm.hasRecentLosses() || target.runs().isEmpty()) {
            return LONG_POLL_MS;
        }
        long endMs = mRuns.expectedNextEndMs(target);
        return Math.max(
                MIN_LONG_POLL_MS, Math.min(LONG_POLL_MS, endMs - mTerm.nowMs() + MIN_LONG_POLL_MS));
    }

    /**
     * Sends a lease call. A call to an unresponsive target does not extend its lease: any such call
     * may have reached the target, so if each of them extended the lease, that of a crashed target
     * would never expire, and its tasks would start nowhere else until it was back.
     */
    private LeaseCalls.Call send(Target target, long waitMs) {
        long call = mCallNumbers.getAsLong();
        long untilMs = 0;
        boolean extendable = target.reported() && !target.runsForOtherCell();
        if (extendable && mTerm.isExclusive() && !target.calls().unresponsive()) {
            untilMs =
                    target.leaseEndOnTargetClock(mTerm.nowMs(), LEASE_MS, mTerm.exclusiveUntilMs());
            target.leaseSent(untilMs);
        }
        mTerm.emit(
                new CellAction.ExtendLease(
                        target.info(),
                        call,
                        target.fence(mTerm.fence()),
                        untilMs,
                        target.acknowledged(),
                        waitMs));
        return new LeaseCalls.Call(call, mTerm.nowMs(), waitMs);
    }

    void leaseExtended(CellEvent.LeaseExtended event) {
        // A restarted target has no such call: the report of its new incarnation may lack ends that
        // this call, sent to the earlier one, has acknowledged.
        answering(event.target(), event.report().incarnation())
                .ifPresent(
                        target ->
                                target.calls()
                                        .complete(event.call())
                                        .ifPresent(
                                                call ->
                                                        leaseExtended(
                                                                target, call, event.report())));
    }

    /**
     * The target that has answered an order; empty for an answer of an earlier incarnation. An
     * answer of a later one than known shows that the target has restarted.
     *
     * @param incarnation number of the incarnation that answered; 0 if unknown
     */
    Optional<Target> answering(String id, long incarnation) {
        Target known = mTerm.targets().get(id);
        if (known == null || known.isLaterThan(incarnation)) {
            return Optional.empty();
        }
        if (known.isEarlierThan(incarnation)) {
            laterIncarnation(known, known.info().withIncarnation(incarnation));
        }
        Target target = mTerm.targets().get(id);
        target.identify(incarnation);
        return Optional.of(target);
    }

    private void leaseExtended(Target target, LeaseCalls.Call call, TargetReport report) {
        boolean first = !target.reported();
        if (first) {
            // Earlier controllers may have extended the lease until this report.
            target.earlierLeaseUntil(
                    Math.min(mTerm.earlierLeaseEndMs(), mTerm.earlierTermsEndMs()));
        }
        if (first && mTerm.mayHaveBeenLent() && target.loan().isEmpty()) {
            // A borrower may have extended its lease until the target saw this term's token.
            target.otherCellsLeaseUntil(mTerm.earlierLeaseEndMs());
        }
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
            // Overtaken by a later report. The ends that it lists are valid, but a run that
            // is not listed may have started since, so the report proves no absence.
            mRuns.ended(target, report, exact);
        }
        if (first || target.calls().longPollDue(mTerm.nowMs())) {
            // The first answer gives the target's clock; no earlier call could extend its lease.
            sendLongPoll(target);
        }
    }

    /** Called when the target has answered an order. */
    void targetAnswered(Target target) {
        if (target.calls().answered(mTerm.nowMs())) {
            mTerm.recordLostAnswer();
        }
    }

    /**
     * True when the runs that this answer lists as ended have ended just now: the target held back
     * the call until then, or had answered a moment before.
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
            // An unanswered call was already replaced when it became overdue.
            target.calls().delayLongPoll(mTerm.nowMs() + RETRY_DELAY_MS);
        }
        if (event.cause() == OrderResult.NOT_SENT) {
            target.calls().notSent();
        }
        if (event.cause() == OrderResult.FENCED) {
            fenced(target);
        } else if (event.cause() == OrderResult.OTHER_INCARNATION) {
            targetReplaced(target);
        }
    }

    /**
     * Called when another incarnation answers at the target's address: all that ran there has
     * ended.
     */
    void targetReplaced(Target target) {
        mTerm.targets().remove(target.id());
        if (target.loan().isEmpty()) {
            mReplaced.put(target.info().incarnationName(), mTerm.nowMs());
            mTerm.expectSuccessor(target.info());
        }
        release(target);
    }

    /** Called when a later incarnation of the target has appeared under the same id. */
    private void laterIncarnation(Target known, TargetInfo info) {
        // Runs of a target that has not reported are starts that its predecessor left unanswered.
        if (known.reported() || !known.runs().isEmpty()) {
            targetRestarted(known, info);
        } else {
            // It may have restarted in an earlier term, whose runs its first report lists.
            known.updateInfo(info);
            mCrashes.newTargetListed(info);
        }
    }

    /**
     * Called when a target that this term knows has restarted: all that ran there has ended, but
     * orders that are still on their way may reach the new incarnation.
     */
    private void targetRestarted(Target earlier, TargetInfo info) {
        // If its connections outlast it, calls to the earlier incarnation may extend this lease.
        long leaseEndMs = mTerm.earlierLeaseEndMs() + UnansweredStarts.MAX_ORDER_DELAY_MS;
        Target target = new Target(info, mTerm.nowMs(), leaseEndMs);
        target.leaseMayLastUntil(mTerm.earlierLeaseEndMs());
        // A borrowed target is returned once no order to it is unresolved.
        earlier.loan().ifPresent(target::borrow);
        earlier.loan().ifPresent(BorrowedTarget::recall);
        mTerm.targets().put(info.id(), target);
        mTerm.log(
                Decision.target(
                        "restart",
                        info.id(),
                        "incarnation=" + info.incarnation() + " runs=" + earlier.runs().size(),
                        "its runs have ended"));
        mTerm.unansweredStarts().takeFrom(earlier);
        release(earlier);
        mTerm.unansweredStarts().carryOver(target).forEach(mRuns::stop);
        sendLongPoll(target);
    }

    /** Releases all runs of a target that is gone and records its crash. */
    private void release(Target target) {
        List<LostRun> runs = mCrashes.recordLoss(target);
        mRuns.releaseAll(target, "another incarnation");
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
                mRuns.releaseAll(target, "lease expired");
            }
            boolean gone = target.unlistedFor(mTerm.nowMs(), UNLISTED_GRACE_MS);
            boolean asked = target.reported() || mTerm.earlierTermsOver();
            if (gone && asked && target.runs().isEmpty()) {
                mTerm.log(Decision.target("forget", target.id(), "listed=no", "not in use"));
                mTerm.targets().remove(target.id());
            } else {
                renewLongPoll(target);
            }
        }
    }

    /**
     * True when the leases of all that ran on the target have expired. Guards against taking a
     * healthy idle target for lost while it holds back a long poll for a second: nothing on it
     * needs a lease, and the lease that the call granted may end before the answer arrives. An idle
     * target whose answer is overdue expires like any other. A later controller may have extended
     * the lease, so it counts as expired once it had when this VM was last the only one.
     */
    private boolean isExpired(Target target) {
        // Runs of another cell's jobs are not tracked here, so there is nothing to release.
        boolean foreignOnly = target.runsForOtherCell() && target.runs().isEmpty();
        boolean idle = foreignOnly || !target.busy() && !target.calls().lastOrderFailed();
        return !target.lost() && !idle && target.leaseExpired(mTerm.confirmedMs(), LEASE_SLACK_MS);
    }

    private void renewLongPoll(Target target) {
        target.calls().dropOverdueLongPoll(mTerm.nowMs(), target.roundTrips().timeoutMs());
        if (target.calls().longPollDue(mTerm.nowMs()) || longPollTooLong(target)) {
            sendLongPoll(target);
        }
    }

    /**
     * True when the long poll was sent while the target was idle, and something has run since then
     * for as long as a busy target may hold back a call. Guards against the expiry of that run's
     * lease, which lasts for a second from its start, and against an unreported end if the call was
     * lost on its way. A shorter run needs no further call: its end answers the pending one.
     */
    private boolean longPollTooLong(Target target) {
        return target.busy()
                && target.calls()
                        .longPollTooLong(mTerm.nowMs(), target.busySinceMs(), LONG_POLL_MS);
    }
}
