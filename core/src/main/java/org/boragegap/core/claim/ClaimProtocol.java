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
 * same view. A granted claim never changes hands. docs/DESIGN.md has the tables of states and
 * events and the argument why no submission is granted to two members.
 */
public final class ClaimProtocol {
    private static final class Pending {
        private final Claim mClaim;
        private final long mArrivedMs;
        private final Set<Member> mWaitingFor = new HashSet<>();
        private long mSentMs;

        private Pending(Claim claim, long arrivedMs) {
            mClaim = claim;
            mArrivedMs = arrivedMs;
        }
    }

    private final Member mSelf;
    private final ClaimLimits mLimits;
    private final ViewKeeper mViews;
    private final ClaimTable mTable = new ClaimTable();
    private final Map<ClaimKey, Pending> mPending = new HashMap<>();
    private final ClaimTransfer mTransfer;
    private long mAttempts;

    private ClaimProtocol(Member self, String domain, ClaimLimits limits, LongSupplier uids) {
        mSelf = self;
        mLimits = limits;
        mViews = new ViewKeeper(self, domain, limits, uids);
        mTransfer = new ClaimTransfer(mViews, mTable, limits);
    }

    /**
     * Makes the protocol for one run of an entry process.
     *
     * @param self this run
     * @param domain its failure domain
     * @param limits times that bound the protocol
     * @param uids source of random, non-zero view identities
     */
    public static ClaimProtocol create(
            Member self, String domain, ClaimLimits limits, LongSupplier uids) {
        return new ClaimProtocol(self, domain, limits, uids);
    }

    /** The domain's view as last learned. */
    public Optional<DomainView> view() {
        return mViews.head();
    }

    /** True when this member can claim, so that callers may be sent here. */
    public boolean ready(ClockReading clock) {
        return mViews.usable(clock);
    }

    /** How many submissions are held in memory as claimed. */
    public int claimsKept() {
        return mTable.size();
    }

    /** How many claims wait for acknowledgements. */
    public int claimsPending() {
        return mPending.size();
    }

    /**
     * Wants the claim of a submission; the verdict comes as a {@link ClaimAction.Decide}, at the
     * latest after the claim timeout.
     *
     * @param key the submission
     * @param createdMs creation time of its id
     * @param fingerprint hash of its body
     */
    public void want(
            ClaimKey key,
            long createdMs,
            long fingerprint,
            ClockReading clock,
            List<ClaimAction> out) {
        if (mPending.containsKey(key)) {
            return;
        }
        Optional<ClaimVerdict> known = verdictAtOnce(key, createdMs, fingerprint, clock);
        if (known.isPresent()) {
            out.add(new ClaimAction.Decide(key, known.get()));
            return;
        }
        Claim claim = new Claim(key, mSelf, ++mAttempts, createdMs, fingerprint);
        Pending pending = new Pending(claim, clock.monotonicMs());
        mPending.put(key, pending);
        ask(pending, clock, out);
    }

    private Optional<ClaimVerdict> verdictAtOnce(
            ClaimKey key, long createdMs, long fingerprint, ClockReading clock) {
        if (createdMs < clock.wallMs() - mLimits.windowMs()) {
            return Optional.of(new ClaimVerdict.Unknown("the id is older than the id window"));
        }
        if (createdMs > clock.wallMs() + mLimits.skewMs()) {
            return Optional.of(new ClaimVerdict.Unknown("the id's time is in the future"));
        }
        List<Claim> claims = mTable.find(key);
        if (!claims.isEmpty()) {
            return Optional.of(verdictOn(claims.get(claims.size() - 1), fingerprint));
        }
        long coverage = mViews.head().map(DomainView::coverageStartMs).orElse(0L);
        if (createdMs <= coverage) {
            return Optional.of(olderThanMemory());
        }
        return Optional.empty();
    }

    private ClaimVerdict verdictOn(Claim claim, long fingerprint) {
        if (claim.fingerprint() != fingerprint) {
            return new ClaimVerdict.Conflict();
        }
        if (claim.holder().equals(mSelf)) {
            return new ClaimVerdict.Unknown("the answer is no longer kept");
        }
        return heldBy(claim);
    }

    private ClaimVerdict heldBy(Claim claim) {
        boolean inView = mViews.head().isPresent() && mViews.head().get().contains(claim.holder());
        return new ClaimVerdict.HeldBy(claim.holder(), inView);
    }

    /** Gives up a granted claim under which nothing was started. */
    public void release(ClaimKey key, List<ClaimAction> out) {
        mTable.findBy(key, mSelf).ifPresent(claim -> giveUp(claim, out));
    }

    private void giveUp(Claim claim, List<ClaimAction> out) {
        mTable.remove(claim.key(), mSelf);
        sendToOthers(new ClaimMessage.Release(claim.key(), claim.attempt()), out);
    }

    /** Asks the siblings for a view without this member; to be called when all work is done. */
    public void leave(List<ClaimAction> out) {
        sendToOthers(new ClaimMessage.Leave(), out);
    }

    /** True when this member has no siblings in its view, or is in none. */
    public boolean outOfView() {
        return !mViews.inView() || mViews.head().orElseThrow().members().size() == 1;
    }

    /** Takes a peer's message. */
    public void onMessage(
            Member from, ClaimMessage message, ClockReading clock, List<ClaimAction> out) {
        mViews.heard(from, clock);
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
                onHeadChanged(clock, out);
            }
        } else if (message instanceof ClaimMessage.Join) {
            mViews.onJoin(from, clock);
        } else if (message instanceof ClaimMessage.Leave) {
            mViews.onLeave(from);
        } else if (message instanceof ClaimMessage.Fetch fetch) {
            mTransfer.onFetch(from, fetch, out);
        } else if (message instanceof ClaimMessage.Claims claims) {
            mTransfer.onClaims(claims, clock);
        }
    }

    /** Takes what a read of the log brought. */
    public void onLog(LogBatch batch, ClockReading clock, List<ClaimAction> out) {
        if (mViews.onLog(batch, clock, out)) {
            onHeadChanged(clock, out);
        }
    }

    /**
     * Takes the platform's word that VMs are gone for good.
     *
     * @param addresses peer addresses that are no longer listed
     */
    public void onVmsGone(Set<String> addresses) {
        mViews.onVmsGone(addresses);
    }

    /** Lets time pass: resends, time-outs, heartbeats, view changes. */
    public void onTick(ClockReading clock, List<ClaimAction> out) {
        mViews.onTick(clock, out);
        mTable.expire(clock.monotonicMs(), mLimits.keepMs());
        mTransfer.onTick(clock, out);
        for (Pending pending : new ArrayList<>(mPending.values())) {
            if (clock.monotonicMs() - pending.mArrivedMs >= mLimits.claimTimeoutMs()) {
                timeOut(pending, out);
            } else if (clock.monotonicMs() - pending.mSentMs >= mLimits.resendMs()) {
                ask(pending, clock, out);
            }
        }
    }

    private void onHeadChanged(ClockReading clock, List<ClaimAction> out) {
        mTransfer.onHeadChanged();
        // Acknowledgements given under the earlier view say nothing about the new one.
        for (Pending pending : new ArrayList<>(mPending.values())) {
            pending.mWaitingFor.clear();
            ask(pending, clock, out);
        }
    }

    private void ask(Pending pending, ClockReading clock, List<ClaimAction> out) {
        pending.mSentMs = clock.monotonicMs();
        if (!mViews.usable(clock)) {
            return;
        }
        DomainView view = mViews.head().orElseThrow();
        if (pending.mWaitingFor.isEmpty()) {
            Optional<ClaimVerdict> ruledOut = ruledOut(pending.mClaim, view);
            if (ruledOut.isPresent()) {
                mPending.remove(pending.mClaim.key());
                out.add(new ClaimAction.Decide(pending.mClaim.key(), ruledOut.get()));
                return;
            }
            mTable.put(pending.mClaim, clock.monotonicMs());
            pending.mWaitingFor.addAll(view.members());
            pending.mWaitingFor.remove(mSelf);
        }
        if (pending.mWaitingFor.isEmpty()) {
            grant(pending, out);
            return;
        }
        ClaimMessage request = new ClaimMessage.Request(view.uid(), pending.mClaim);
        for (Member member : pending.mWaitingFor) {
            out.add(new ClaimAction.Send(member.address(), request));
        }
    }

    /**
     * What a new view has brought may speak against a claim that was wanted before: a claim by a
     * member that is gone, or a memory that begins after the id was made.
     */
    private Optional<ClaimVerdict> ruledOut(Claim claim, DomainView view) {
        if (claim.createdMs() <= view.coverageStartMs()) {
            return Optional.of(olderThanMemory());
        }
        for (Claim other : mTable.find(claim.key())) {
            boolean own = other.holder().equals(mSelf);
            if (!own && !view.contains(other.holder())) {
                return Optional.of(verdictOn(other, claim.fingerprint()));
            }
        }
        return Optional.empty();
    }

    private static ClaimVerdict olderThanMemory() {
        return new ClaimVerdict.Unknown("the id is older than this failure domain's memory");
    }

    private void grant(Pending pending, List<ClaimAction> out) {
        ClaimKey key = pending.mClaim.key();
        mPending.remove(key);
        out.add(new ClaimAction.Decide(key, new ClaimVerdict.Granted()));
    }

    /**
     * Without everyone's acknowledgement it is never said that nothing was run: a later view,
     * unknown here, may have started the submission a moment ago.
     */
    private void timeOut(Pending pending, List<ClaimAction> out) {
        ClaimKey key = pending.mClaim.key();
        mPending.remove(key);
        giveUp(pending.mClaim, out);
        String reason = "no agreement within this failure domain";
        out.add(new ClaimAction.Decide(key, new ClaimVerdict.Unknown(reason)));
    }

    private void onRequest(
            Member from, ClaimMessage.Request request, ClockReading clock, List<ClaimAction> out) {
        boolean sameView = mViews.head().map(DomainView::uid).orElse(0L) == request.viewUid();
        if (!sameView || !mViews.usable(clock)) {
            mViews.tellView(from, clock, out);
            return;
        }
        Claim claim = request.claim();
        Optional<Claim> rival = rivalOf(claim);
        if (rival.isPresent()) {
            ClaimMessage held = new ClaimMessage.Held(claim.key(), claim.attempt(), rival.get());
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
     * The claim that stands against another one, if any.
     *
     * <p>A rival that is a member of the view is asked by the claimant itself, so it doesn't stand
     * in the way here. One that left the view may have started, and nobody can ask it.
     */
    private Optional<Claim> rivalOf(Claim claim) {
        for (Claim other : mTable.find(claim.key())) {
            boolean own = other.holder().equals(mSelf);
            if (other.holder().equals(claim.holder())) {
                continue;
            }
            if (own ? !yields(claim) : !mViews.head().orElseThrow().contains(other.holder())) {
                return Optional.of(other);
            }
        }
        return Optional.empty();
    }

    private boolean yields(Claim claim) {
        ClaimKey key = claim.key();
        return mPending.containsKey(key) && key.weight(claim.holder()) > key.weight(mSelf);
    }

    private void yieldTo(Claim claim, List<ClaimAction> out) {
        Pending own = mPending.remove(claim.key());
        if (own == null) {
            return;
        }
        mTable.remove(claim.key(), mSelf);
        decideHeld(own, claim, out);
    }

    private void decideHeld(Pending own, Claim held, List<ClaimAction> out) {
        ClaimVerdict verdict = verdictOn(held, own.mClaim.fingerprint());
        out.add(new ClaimAction.Decide(held.key(), verdict));
    }

    private void onGranted(
            Member from, ClaimMessage.Granted granted, ClockReading clock, List<ClaimAction> out) {
        Pending pending = mPending.get(granted.key());
        boolean current =
                pending != null
                        && pending.mClaim.attempt() == granted.attempt()
                        && mViews.usable(clock)
                        && mViews.head().orElseThrow().uid() == granted.viewUid();
        if (!current) {
            return;
        }
        boolean removed = pending.mWaitingFor.remove(from);
        if (removed && pending.mWaitingFor.isEmpty()) {
            grant(pending, out);
        }
    }

    private void onHeld(ClaimMessage.Held held, ClockReading clock, List<ClaimAction> out) {
        Pending pending = mPending.get(held.key());
        if (pending == null || pending.mClaim.attempt() != held.attempt()) {
            return;
        }
        mPending.remove(held.key());
        giveUp(pending.mClaim, out);
        mTable.put(held.held(), clock.monotonicMs());
        decideHeld(pending, held.held(), out);
    }

    private void onRelease(Member from, ClaimMessage.Release release) {
        mTable.findBy(release.key(), from)
                .filter(claim -> claim.attempt() <= release.attempt())
                .ifPresent(claim -> mTable.remove(claim.key(), from));
    }

    private void sendToOthers(ClaimMessage message, List<ClaimAction> out) {
        for (Member member : mViews.head().map(DomainView::members).orElse(List.of())) {
            if (!member.equals(mSelf)) {
                out.add(new ClaimAction.Send(member.address(), message));
            }
        }
    }
}
