package org.boragegap.core.claim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;
import org.boragegap.core.ClockReading;

/**
 * Decides which entry VM of a failure domain may start a submission.
 *
 * <p>A claim is granted when every other member of the domain's view has acknowledged it under that
 * same view. A granted claim is never transferred to another member. docs/DESIGN.md has the tables
 * of states and events and the argument why no submission is granted to two members.
 */
public final class ClaimProtocol {
    private static final String OLDER_THAN_WINDOW = "the id is older than the id window";

    private static final class PendingClaim {
        private final Claim mClaim;
        private final long mRequestedMs;
        private final Set<Member> mAwaitingAckFrom = new HashSet<>();
        private long mLastSentMs;

        private PendingClaim(Claim claim, long arrivedMs) {
            mClaim = claim;
            mRequestedMs = arrivedMs;
        }
    }

    private final Member mSelf;
    private final ClaimLimits mLimits;
    private final ViewManager mViews;
    private final ClaimTable mTable = new ClaimTable();
    private final Map<ClaimKey, PendingClaim> mPending = new HashMap<>();
    private final ClaimTransfer mTransfer;
    private long mLastAttempt;

    private ClaimProtocol(Member self, String domain, ClaimLimits limits, LongSupplier uids) {
        mSelf = self;
        mLimits = limits;
        mViews = new ViewManager(self, domain, limits, uids);
        mTransfer = new ClaimTransfer(mViews, mTable, limits);
    }

    /**
     * Creates the protocol for one run of an entry process.
     *
     * @param self the member that this run is
     * @param domain its failure domain
     * @param limits timeouts and intervals of the protocol
     * @param uids source of random, non-zero view uids
     */
    public static ClaimProtocol create(
            Member self, String domain, ClaimLimits limits, LongSupplier uids) {
        return new ClaimProtocol(self, domain, limits, uids);
    }

    /** The failure domain's view as last known here. */
    public Optional<DomainView> view() {
        return mViews.currentView();
    }

    /** True when callers may be routed to this member. */
    public boolean ready(ClockReading clock) {
        return mViews.serving(clock);
    }

    /** Number of submissions with at least one recorded claim. */
    public int claimsKept() {
        return mTable.size();
    }

    /** Number of claims that are waiting for acknowledgements. */
    public int claimsPending() {
        return mPending.size();
    }

    /**
     * Requests the claim of a submission. The outcome is reported by a {@link ClaimAction.Resolve},
     * at the latest after the claim timeout. Does nothing while a claim on the key is pending.
     *
     * @param key the submission
     * @param createdMs creation time of its id
     * @param fingerprint hash of its body
     */
    public void requestClaim(
            ClaimKey key,
            long createdMs,
            long fingerprint,
            ClockReading clock,
            List<ClaimAction> out) {
        if (mPending.containsKey(key)) {
            return;
        }
        Optional<ClaimOutcome> immediate = immediateOutcome(key, createdMs, fingerprint, clock);
        if (immediate.isPresent()) {
            out.add(new ClaimAction.Resolve(key, immediate.get()));
            return;
        }
        Claim claim = new Claim(key, mSelf, ++mLastAttempt, createdMs, fingerprint);
        PendingClaim pending = new PendingClaim(claim, clock.monotonicMs());
        mPending.put(key, pending);
        requestAcknowledgements(pending, clock, out);
    }

    private Optional<ClaimOutcome> immediateOutcome(
            ClaimKey key, long createdMs, long fingerprint, ClockReading clock) {
        if (createdMs < clock.wallMs() - mLimits.idWindowMs()) {
            return Optional.of(new ClaimOutcome.Unknown(OLDER_THAN_WINDOW));
        }
        if (createdMs > clock.wallMs() + mLimits.clockSkewMs()) {
            return Optional.of(new ClaimOutcome.Unknown("the id's time is in the future"));
        }
        List<Claim> claims = mTable.find(key);
        if (!claims.isEmpty()) {
            return Optional.of(outcomeForExisting(claims.get(claims.size() - 1), fingerprint));
        }
        long coverageStartMs = mViews.currentView().map(DomainView::coverageStartMs).orElse(0L);
        if (createdMs <= coverageStartMs) {
            return Optional.of(olderThanCoverage());
        }
        return mViews.fenceRemainingMs(clock).map(ClaimProtocol::fenced);
    }

    private static ClaimOutcome fenced(long remainingMs) {
        return new ClaimOutcome.Unknown(
                "earlier entry VMs of this failure domain may still be at work", remainingMs);
    }

    private ClaimOutcome outcomeForExisting(Claim claim, long fingerprint) {
        if (claim.fingerprint() != fingerprint) {
            return new ClaimOutcome.Conflict();
        }
        if (claim.holder().equals(mSelf)) {
            return new ClaimOutcome.Unknown("the answer is no longer kept");
        }
        return heldBy(claim);
    }

    private ClaimOutcome heldBy(Claim claim) {
        boolean inView =
                mViews.currentView().isPresent()
                        && mViews.currentView().get().contains(claim.holder());
        return new ClaimOutcome.HeldBy(claim.holder(), inView);
    }

    /** Releases a granted claim under which nothing was started. */
    public void release(ClaimKey key, List<ClaimAction> out) {
        mTable.findHeldBy(key, mSelf).ifPresent(claim -> releaseClaim(claim, out));
    }

    private void releaseClaim(Claim claim, List<ClaimAction> out) {
        mTable.remove(claim.key(), mSelf);
        sendToOthers(new ClaimMessage.Release(claim.key(), claim.attempt()), out);
    }

    /**
     * Asks the other members for a view without this one, or records that the last member has left.
     * Called once all work is done; no claim is made after it.
     */
    public void leave(ClockReading clock, List<ClaimAction> out) {
        sendToOthers(new ClaimMessage.Leave(), out);
        mViews.leave(clock, out);
    }

    /** True when this member is the only one in its view, or is in no view. */
    public boolean hasNoSiblings() {
        return !mViews.inView() || mViews.currentView().orElseThrow().members().size() == 1;
    }

    /** Handles a peer's message. */
    public void onMessage(
            Member from, ClaimMessage message, ClockReading clock, List<ClaimAction> out) {
        mViews.recordContact(from, clock);
        if (message instanceof ClaimMessage.Request request) {
            onRequest(from, request, clock, out);
        } else if (message instanceof ClaimMessage.Granted granted) {
            onGranted(from, granted, clock, out);
        } else if (message instanceof ClaimMessage.Held held) {
            onHeld(held, clock, out);
        } else if (message instanceof ClaimMessage.Release release) {
            onRelease(from, release);
        } else if (message instanceof ClaimMessage.ViewIs is) {
            if (mViews.onViewIs(from, is, clock, out)) {
                onViewChanged(clock, out);
            }
        } else if (message instanceof ClaimMessage.Join) {
            mViews.onJoin(from, clock);
        } else if (message instanceof ClaimMessage.Leave) {
            mViews.onLeave(from);
        } else if (message instanceof ClaimMessage.Fetch fetch) {
            mTransfer.onFetch(from, fetch, out);
        } else if (message instanceof ClaimMessage.Claims claims) {
            mTransfer.onClaims(claims, clock);
        } else if (message instanceof ClaimMessage.LogReadQuery query) {
            mViews.onLogReadQuery(from, query, clock, out);
        } else if (message instanceof ClaimMessage.LogReadAge age) {
            mViews.onLogReadAge(age);
        }
    }

    /** Handles the result of a read of the log. */
    public void onLog(LogBatch batch, ClockReading clock, List<ClaimAction> out) {
        if (mViews.onLog(batch, clock, out)) {
            onViewChanged(clock, out);
        }
    }

    /**
     * Handles members of the view that have been missing from the platform's list for a while.
     *
     * @param addresses peer addresses of all such members; replaces the earlier ones
     */
    public void onVmsUnlisted(Set<String> addresses) {
        mViews.onVmsUnlisted(addresses);
    }

    /** Handles the passage of time: resends, timeouts, heartbeats and view changes. */
    public void onTick(ClockReading clock, List<ClaimAction> out) {
        mViews.onTick(clock, out);
        mTable.expire(clock.monotonicMs(), mLimits.claimRetentionMs());
        mTransfer.onTick(clock, out);
        boolean lapsed = mViews.leaseLapsed(clock);
        for (PendingClaim pending : new ArrayList<>(mPending.values())) {
            if (lapsed) {
                endWithoutGrant(pending, "this failure domain doesn't hear from the log", out);
            } else if (clock.monotonicMs() - pending.mRequestedMs >= mLimits.claimTimeoutMs()) {
                endWithoutGrant(pending, "no agreement within this failure domain", out);
            } else if (clock.monotonicMs() - pending.mLastSentMs >= mLimits.resendMs()) {
                requestAcknowledgements(pending, clock, out);
            }
        }
    }

    private void onViewChanged(ClockReading clock, List<ClaimAction> out) {
        mTransfer.onViewChanged();
        // Acknowledgements given under the earlier view don't count under the new one.
        for (PendingClaim pending : new ArrayList<>(mPending.values())) {
            pending.mAwaitingAckFrom.clear();
            requestAcknowledgements(pending, clock, out);
        }
    }

    private void requestAcknowledgements(
            PendingClaim pending, ClockReading clock, List<ClaimAction> out) {
        pending.mLastSentMs = clock.monotonicMs();
        if (pending.mClaim.createdMs() < clock.wallMs() - mLimits.idWindowMs()) {
            endWithoutGrant(pending, OLDER_THAN_WINDOW, out);
            return;
        }
        if (!mViews.canClaim(clock)) {
            return;
        }
        DomainView view = mViews.currentView().orElseThrow();
        if (pending.mAwaitingAckFrom.isEmpty()) {
            Optional<ClaimOutcome> rejection = rejectedByView(pending.mClaim, view);
            if (rejection.isPresent()) {
                mPending.remove(pending.mClaim.key());
                out.add(new ClaimAction.Resolve(pending.mClaim.key(), rejection.get()));
                return;
            }
            mTable.put(pending.mClaim, clock.monotonicMs());
            pending.mAwaitingAckFrom.addAll(view.members());
            pending.mAwaitingAckFrom.remove(mSelf);
        }
        if (pending.mAwaitingAckFrom.isEmpty()) {
            grant(pending, out);
            return;
        }
        ClaimMessage request = new ClaimMessage.Request(view.uid(), pending.mClaim);
        for (Member member : pending.mAwaitingAckFrom) {
            out.add(new ClaimAction.Send(member.address(), request));
        }
    }

    /**
     * The outcome of a claim that the view rules out, if it does. A view that came after the claim
     * was requested may bring a claim by a member that has left, or may not cover the time at which
     * the id was created.
     */
    private Optional<ClaimOutcome> rejectedByView(Claim claim, DomainView view) {
        if (claim.createdMs() <= view.coverageStartMs()) {
            return Optional.of(olderThanCoverage());
        }
        for (Claim other : mTable.find(claim.key())) {
            boolean own = other.holder().equals(mSelf);
            if (!own && !view.contains(other.holder())) {
                return Optional.of(outcomeForExisting(other, claim.fingerprint()));
            }
        }
        return Optional.empty();
    }

    private static ClaimOutcome olderThanCoverage() {
        return new ClaimOutcome.Unknown("the id is older than this failure domain's memory");
    }

    private void grant(PendingClaim pending, List<ClaimAction> out) {
        ClaimKey key = pending.mClaim.key();
        mPending.remove(key);
        out.add(new ClaimAction.Resolve(key, new ClaimOutcome.Granted()));
    }

    /**
     * The outcome is unknown, not that nothing was run: without every member's acknowledgement, a
     * member of a later view that is not known here may already have started the submission.
     */
    private void endWithoutGrant(PendingClaim pending, String reason, List<ClaimAction> out) {
        ClaimKey key = pending.mClaim.key();
        mPending.remove(key);
        releaseClaim(pending.mClaim, out);
        out.add(new ClaimAction.Resolve(key, new ClaimOutcome.Unknown(reason)));
    }

    private void onRequest(
            Member from, ClaimMessage.Request request, ClockReading clock, List<ClaimAction> out) {
        if (mLimits.mayBeForgotten(request.claim().createdMs(), clock.wallMs())) {
            return;
        }
        boolean sameView =
                mViews.currentView().map(DomainView::uid).orElse(0L) == request.viewUid();
        if (!sameView || !mViews.canClaim(clock)) {
            mViews.sendView(from, clock, out);
            return;
        }
        Claim claim = request.claim();
        Optional<Claim> conflicting = conflictingClaim(claim);
        if (conflicting.isPresent()) {
            ClaimMessage held =
                    new ClaimMessage.Held(claim.key(), claim.attempt(), conflicting.get());
            out.add(new ClaimAction.Send(from.address(), held));
            return;
        }
        yieldTo(claim, out);
        mTable.put(claim, clock.monotonicMs());
        ClaimMessage granted =
                new ClaimMessage.Granted(request.viewUid(), claim.key(), claim.attempt());
        out.add(new ClaimAction.Send(from.address(), granted));
    }

    /**
     * The recorded claim that prevents an acknowledgement of the given one, if any.
     *
     * <p>This member's own claim does unless it is pending and loses the tie. A claim by another
     * member of the view doesn't, since the claimant asks that member itself. A claim by a member
     * that has left the view does: its holder may have started the tasks and can't be asked.
     */
    private Optional<Claim> conflictingClaim(Claim claim) {
        for (Claim other : mTable.find(claim.key())) {
            boolean own = other.holder().equals(mSelf);
            if (other.holder().equals(claim.holder())) {
                continue;
            }
            if (own
                    ? !losesTieTo(claim)
                    : !mViews.currentView().orElseThrow().contains(other.holder())) {
                return Optional.of(other);
            }
        }
        return Optional.empty();
    }

    private boolean losesTieTo(Claim claim) {
        ClaimKey key = claim.key();
        return mPending.containsKey(key) && key.weight(claim.holder()) > key.weight(mSelf);
    }

    private void yieldTo(Claim claim, List<ClaimAction> out) {
        PendingClaim own = mPending.remove(claim.key());
        if (own == null) {
            return;
        }
        mTable.remove(claim.key(), mSelf);
        resolveAsHeld(own, claim, out);
    }

    private void resolveAsHeld(PendingClaim own, Claim held, List<ClaimAction> out) {
        ClaimOutcome outcome = outcomeForExisting(held, own.mClaim.fingerprint());
        out.add(new ClaimAction.Resolve(held.key(), outcome));
    }

    private void onGranted(
            Member from, ClaimMessage.Granted granted, ClockReading clock, List<ClaimAction> out) {
        PendingClaim pending = mPending.get(granted.key());
        boolean current =
                pending != null
                        && pending.mClaim.attempt() == granted.attempt()
                        && mViews.canClaim(clock)
                        && mViews.currentView().orElseThrow().uid() == granted.viewUid();
        if (!current) {
            return;
        }
        boolean removed = pending.mAwaitingAckFrom.remove(from);
        if (removed && pending.mAwaitingAckFrom.isEmpty()) {
            grant(pending, out);
        }
    }

    private void onHeld(ClaimMessage.Held held, ClockReading clock, List<ClaimAction> out) {
        PendingClaim pending = mPending.get(held.key());
        if (pending == null || pending.mClaim.attempt() != held.attempt()) {
            return;
        }
        mPending.remove(held.key());
        releaseClaim(pending.mClaim, out);
        mTable.put(held.held(), clock.monotonicMs());
        resolveAsHeld(pending, held.held(), out);
    }

    private void onRelease(Member from, ClaimMessage.Release release) {
        mTable.findHeldBy(release.key(), from)
                .filter(claim -> claim.attempt() <= release.attempt())
                .ifPresent(claim -> mTable.remove(claim.key(), from));
    }

    private void sendToOthers(ClaimMessage message, List<ClaimAction> out) {
        for (Member member : mViews.currentView().map(DomainView::members).orElse(List.of())) {
            if (!member.equals(mSelf)) {
                out.add(new ClaimAction.Send(member.address(), message));
            }
        }
    }
}
