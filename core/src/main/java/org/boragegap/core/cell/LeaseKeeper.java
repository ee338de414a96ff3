package org.boragegap.core.cell;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** Keeps the list of targets, extends their leases and asks for their reports. */
final class LeaseKeeper {
    /** Lease that each order asks for, in ms; targets grant a second at the most. */
    static final long LEASE_MS = 1_000;

    /**
     * How long a target may wait for an end before it answers a lease call, in ms. A lost call is
     * noticed and sent again while over a quarter of the lease is left.
     */
    private static final long WAIT_MS = 300;

    /** Pause before a failed lease call is sent again, in ms. */
    private static final long RETRY_MS = 100;

    /** Kept after the computed end of a lease, in ms: rounding of two clocks to milliseconds. */
    private static final long LEASE_SLACK_MS = 20;

    /**
     * How long a target that left the platform's list may still be given work, in ms. Entries that
     * lapsed while the list was away come back within two seconds.
     */
    private static final long UNLISTED_GRACE_MS = 2_500;

    /**
     * A target is given no work for this time after it was first seen, in ms: the other entry VMs
     * are told of it first, so that a next controller knows where to look for what runs.
     */
    private static final long ANNOUNCE_MS = 200;

    private final Term mTerm;
    private final RunLedger mRuns;
    private long mNextCall = 1;
    private List<TargetInfo> mAnnounced = List.of();

    LeaseKeeper(Term term, RunLedger runs) {
        mTerm = term;
        mRuns = runs;
    }

    /**
     * Takes the targets that the controller before had, which all other entry VMs know of. They are
     * told again as those of this term: the next controller goes by the last term's list alone.
     */
    void inherit(List<TargetInfo> infos) {
        for (TargetInfo info : infos) {
            Target target = new Target(info, mTerm.nowMs());
            mTerm.targets().put(info.id(), target);
            call(target);
        }
        announce();
    }

    void listed(List<TargetInfo> infos) {
        mTerm.targetsListed();
        Set<String> ids = new HashSet<>();
        for (TargetInfo info : infos) {
            ids.add(info.id());
            Target known = mTerm.targets().get(info.id());
            if (known == null) {
                Target target = new Target(info, mTerm.nowMs() + ANNOUNCE_MS);
                mTerm.targets().put(info.id(), target);
                call(target);
            } else {
                noteDraining(known, info);
                known.listed(info);
            }
        }
        for (Target target : mTerm.targets().values()) {
            if (!ids.contains(target.id())) {
                target.unlisted(mTerm.nowMs());
            }
        }
        announce();
    }

    private void announce() {
        List<TargetInfo> infos = new ArrayList<>();
        mTerm.targets().values().forEach(target -> infos.add(target.info()));
        if (!infos.equals(mAnnounced)) {
            mAnnounced = infos;
            mTerm.act(new CellAction.TellTargets(infos));
        }
    }

    private void noteDraining(Target known, TargetInfo info) {
        if (info.draining() && !known.info().draining()) {
            mTerm.log(Decision.target("drain", info.id(), "listed=draining", "starts nothing"));
        }
    }

    /** Asks for a report at once; an answer to an earlier call is passed over. */
    void look(Target target) {
        call(target, 0);
    }

    private void call(Target target) {
        call(target, target.reported() ? WAIT_MS : 0);
    }

    private void call(Target target, long waitMs) {
        long call = mNextCall++;
        long untilMs = 0;
        if (target.reported()) {
            untilMs = target.leaseUntil(mTerm.nowMs(), LEASE_MS, mTerm.actsUntilMs());
            target.leaseSent(untilMs);
        }
        target.callSent(call, mTerm.nowMs());
        mTerm.act(
                new CellAction.ExtendLease(
                        target.info(),
                        call,
                        mTerm.fence(),
                        untilMs,
                        target.acknowledged(),
                        waitMs));
    }

    void extended(CellEvent.LeaseExtended event) {
        Target target = mTerm.targets().get(event.target());
        if (target == null || !target.awaits(event.call())) {
            return;
        }
        if (!target.reported() || target.lost()) {
            mTerm.log(Decision.target("target", target.id(), "report=yes", "in use"));
        }
        target.readClock(event.report().clockMs(), mTerm.nowMs());
        target.callOver(mTerm.nowMs());
        mRuns.reported(target, event.report(), target.callSentMs());
        call(target);
    }

    void failed(CellEvent.LeaseFailed event) {
        Target target = mTerm.targets().get(event.target());
        if (target == null || !target.awaits(event.call())) {
            return;
        }
        target.callOver(mTerm.nowMs() + RETRY_MS);
        if (event.cause() == OrderResult.FENCED) {
            mTerm.act(new CellAction.Deposed());
        } else if (event.cause() == OrderResult.OTHER_INCARNATION) {
            mRuns.allOver(target, "another incarnation");
            mTerm.targets().remove(target.id());
        }
    }

    void tick() {
        for (Target target : new ArrayList<>(mTerm.targets().values())) {
            if (!target.lost() && target.leaseOver(mTerm.nowMs(), LEASE_SLACK_MS)) {
                mTerm.log(
                        Decision.target(
                                "lapse",
                                target.id(),
                                "silent_ms=" + (mTerm.nowMs() - target.callSentMs()),
                                "its runs start elsewhere"));
                mRuns.allOver(target, "lease over");
            }
            boolean gone = target.unlistedFor(mTerm.nowMs(), UNLISTED_GRACE_MS);
            if (gone && target.runs().isEmpty()) {
                mTerm.log(Decision.target("forget", target.id(), "listed=no", "not in use"));
                mTerm.targets().remove(target.id());
            } else if (target.callDue(mTerm.nowMs())) {
                call(target);
            }
        }
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
