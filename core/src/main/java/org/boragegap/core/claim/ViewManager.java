package org.boragegap.core.claim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;
import org.boragegap.core.ClockReading;

/**
 * Manages this member's membership in its failure domain's view.
 *
 * <p>A view changes only by a record on the log, and the order of the log decides between
 * concurrent proposals. A member moves from one view to the next in a single step and acknowledges
 * nothing under a view that it has left. So once any one member of both views has moved on, no
 * claim can be granted under the earlier view.
 */
final class ViewManager {
    private static final int PROPOSAL_INTERVAL_FACTOR = 5;
    private static final int HEARTBEATS_PER_SUSPECT_TIMEOUT = 4;

    private final Member mSelf;
    private final String mDomain;
    private final ClaimLimits mLimits;
    private final LongSupplier mUids;
    private final ViewLog mLog;
    private final MemberHealth mHealth;
    private final MembershipPlanner mPlanner;
    private final SuspensionDetector mSuspensions;
    private final StatementTime mStatementTime;
    private final ClaimLease mLease;
    private Optional<DomainView> mFencedView = Optional.empty();
    private long mViewSinceMs;
    private final Set<Member> mPeersWithAllClaims = new HashSet<>();
    private boolean mHasAllClaims;
    private boolean mLeaving;
    private boolean mReleased;
    private final Map<Member, Long> mPeerSentMs = new HashMap<>();
    private boolean mSawAnyRecord;
    private boolean mReadFromLogStart;
    private boolean mAtLogEnd;
    private long mLastReadOffset = -1;
    private long mLastReadSentMs = Long.MIN_VALUE / 2;
    private long mLastProposalMs = Long.MIN_VALUE / 2;
    private long mLastRestatementMs = Long.MIN_VALUE / 2;
    private long mLastHeartbeatMs = Long.MIN_VALUE / 2;

    ViewManager(Member self, String domain, ClaimLimits limits, LongSupplier uids) {
        mSelf = self;
        mDomain = domain;
        mLimits = limits;
        mUids = uids;
        mLog = new ViewLog(limits.logRetentionMs());
        mHealth = new MemberHealth(limits.suspectMs());
        mPlanner = new MembershipPlanner(self, limits.suspectMs(), mHealth);
        mSuspensions = new SuspensionDetector(limits.clockSkewMs());
        mStatementTime = new StatementTime(mSuspensions);
        mLease = new ClaimLease(self, limits, mSuspensions);
    }

    Optional<DomainView> currentView() {
        return mLog.currentView();
    }

    boolean inView() {
        return currentView().isPresent() && currentView().get().contains(mSelf);
    }

    boolean hasAllClaims() {
        return mHasAllClaims;
    }

    /** True when this member may claim and acknowledge. */
    boolean canClaim(ClockReading clock) {
        return established(clock) && mLease.valid(clock) && !mReleased;
    }

    /** True when this member could claim but for its lease. */
    boolean leaseLapsed(ClockReading clock) {
        return established(clock) && !mLease.valid(clock);
    }

    /**
     * True when this member can serve callers. Submissions without an id need no claim, so that
     * neither a lapsed lease nor a fence prevents it.
     */
    boolean serving(ClockReading clock) {
        return established(clock) || inView() && currentView().get().fence();
    }

    /** The time until a claim is possible again, if the current view is a fence. */
    Optional<Long> fenceRemainingMs(ClockReading clock) {
        return currentView()
                .filter(DomainView::fence)
                .map(fence -> Math.max(0, mViewSinceMs + mLimits.fenceMs() - clock.monotonicMs()));
    }

    /**
     * True when this member holds all claims of a view that has not expired.
     *
     * <p>A view that isn't stated again within the log's retention expires: a VM that finds no view
     * on the log then starts a new one, which members that were paused or disconnected don't know
     * of. This check makes them stop before that can happen.
     */
    private boolean established(ClockReading clock) {
        return mHasAllClaims
                && inView()
                && !mSuspensions.suspendedSinceTick(clock)
                && mStatementTime.ageMs(clock) < mLimits.viewExpiryMs();
    }

    /** Handles a read of the log; true when the current view changed. */
    boolean onLog(LogBatch batch, ClockReading clock, List<ClaimAction> out) {
        Optional<DomainView> before = currentView();
        mReadFromLogStart = batch.firstOffset() == 0;
        mLog.readFrom(batch.firstOffset(), batch.nowMs());
        long sentMs = Math.min(batch.sentMs(), clock.monotonicMs());
        for (LoggedView logged : batch.views()) {
            onViewRecord(logged, sentMs);
        }
        mLastReadOffset = batch.nextOffset() - 1;
        mLastReadSentMs = sentMs;
        mLog.statedMs()
                .ifPresent(stated -> mStatementTime.setIfUnknown(sentMs, batch.nowMs() - stated));
        mAtLogEnd = batch.atEnd();
        if (batch.atEnd()) {
            mLease.renew(sentMs);
        }
        if (currentView().isEmpty() || currentView().equals(before)) {
            return false;
        }
        onViewChanged("log", before, clock, out);
        return true;
    }

    private void onViewRecord(LoggedView logged, long sentMs) {
        if (!logged.record().domain().equals(mDomain)) {
            return;
        }
        mSawAnyRecord = true;
        mLog.forgetBefore(logged.appendedMs() - mLimits.logRetentionMs());
        if (mLog.apply(logged)) {
            mStatementTime.onRead(logged, sentMs);
        }
    }

    /** Handles a peer's view; true when the current view changed. */
    boolean onViewIs(
            Member from, ClaimMessage.ViewIs message, ClockReading clock, List<ClaimAction> out) {
        mPeerSentMs.put(from, message.sentMs());
        Optional<DomainView> before = currentView();
        boolean changed = mLog.adopt(message.view());
        if (changed) {
            mStatementTime.clear();
        }
        boolean sameView = isCurrent(message.view().uid());
        if (sameView) {
            mStatementTime.onPeer(message);
        }
        if (changed) {
            onViewChanged("peer " + from.address(), before, clock, out);
        }
        if (sameView && message.complete()) {
            mPeersWithAllClaims.add(from);
        }
        return changed;
    }

    /** Sends the current view to a peer, if there is one. */
    void sendView(Member to, ClockReading clock, List<ClaimAction> out) {
        currentView().ifPresent(view -> out.add(viewMessage(view, to, clock)));
    }

    private ClaimAction viewMessage(DomainView view, Member to, ClockReading clock) {
        long echoMs = mPeerSentMs.getOrDefault(to, ClaimMessage.ViewIs.NO_ECHO);
        return new ClaimAction.Send(
                to.address(),
                new ClaimMessage.ViewIs(
                        view,
                        mHasAllClaims,
                        mStatementTime.ageMs(clock),
                        clock.monotonicMs(),
                        echoMs));
    }

    private void onViewChanged(
            String source, Optional<DomainView> before, ClockReading clock, List<ClaimAction> out) {
        DomainView view = currentView().orElseThrow();
        boolean fencedHere = view.fence() && mHasAllClaims;
        mFencedView = before.filter(parent -> fencedHere && parent.uid() == view.parentUid());
        mViewSinceMs = clock.monotonicMs();
        out.add(new ClaimAction.Log("view", "source=" + source, view.describe()));
        boolean onlyEstablishedMember =
                view.establishedMembers().equals(List.of(mSelf)) && !mHasAllClaims;
        boolean established = view.establishedMembers().contains(mSelf);
        mHasAllClaims = established && (mHasAllClaims || onlyEstablishedMember);
        mPeersWithAllClaims.clear();
        mPlanner.onViewChanged(view);
        mHealth.onViewChanged(view, clock.monotonicMs());
        mPeerSentMs.keySet().retainAll(view.members());
        if (inView() && view.members().get(0).equals(mSelf) && mLog.currentFromLog()) {
            restateView(clock, out);
        }
        sendHeartbeats(clock, out);
    }

    void recordContact(Member from, ClockReading clock) {
        mHealth.recordContact(from, clock.monotonicMs());
        currentView()
                .flatMap(view -> view.memberAt(from.address()))
                .filter(member -> member.replacedBy(from))
                .filter(member -> member.incarnation() < from.incarnation())
                .ifPresent(mHealth::recordDeparture);
    }

    /**
     * Handles VMs that have been missing from the platform's list for a while. The list may be
     * wrong, so it counts only for members that are also silent.
     */
    void onVmsUnlisted(Set<String> addresses) {
        Set<Member> unlisted = new HashSet<>();
        for (Member member : currentView().map(DomainView::members).orElse(List.of())) {
            if (addresses.contains(member.address()) && !member.equals(mSelf)) {
                unlisted.add(member);
            }
        }
        mHealth.setUnlisted(unlisted);
    }

    /** Makes this member leave its view, also if it becomes the only one later. */
    void leave(ClockReading clock, List<ClaimAction> out) {
        mLeaving = true;
        if (alone()) {
            release(clock, out);
        }
    }

    private boolean alone() {
        return mHasAllClaims
                && currentView().map(DomainView::members).equals(Optional.of(List.of(mSelf)));
    }

    /**
     * Proposes a view without members, so that the VM that comes next needn't presume this one dead
     * and wait. This member grants nothing more, whether or not the proposal takes effect.
     */
    private void release(ClockReading clock, List<ClaimAction> out) {
        mReleased = true;
        DomainView view = currentView().orElseThrow();
        DomainView next =
                view.successor(mUids.getAsLong(), List.of(), List.of(), view.coverageStartMs());
        propose("reason=release", next, clock, out);
    }

    /** A member that leaves has finished its work and makes no more claims. */
    void onLeave(Member from) {
        if (currentView().isPresent() && currentView().get().contains(from)) {
            mHealth.recordDeparture(from);
        }
    }

    void onJoin(Member from, ClockReading clock) {
        if (currentView().isPresent() && currentView().get().contains(from)) {
            return;
        }
        mPlanner.onJoin(from, clock.monotonicMs());
    }

    /** Called when all claims that the view covers have been fetched. */
    void onClaimsFetched() {
        mHasAllClaims = true;
    }

    void onTick(ClockReading clock, List<ClaimAction> out) {
        mHealth.onTick(clock.monotonicMs());
        mStatementTime.addSuspension(mSuspensions.onTick(clock));
        mLease.onTick(clock, out);
        currentView()
                .filter(view -> inView())
                .ifPresent(view -> mLease.queryIfOld(view, clock, out));
        if (mAtLogEnd && currentView().isEmpty()) {
            mLog.forgetBefore(clock.wallMs() - mLimits.logRetentionMs() - mLimits.clockSkewMs());
            bootstrap(clock, out);
        } else if (currentView().filter(DomainView::fence).isPresent()) {
            endFence(clock, out);
        } else if (currentView().isPresent() && !(inView() && mHasAllClaims)) {
            takeOverIfOthersDead(clock, out);
        } else if (mLeaving && alone()) {
            release(clock, out);
        } else if (established(clock)) {
            maintainView(clock, out);
        }
        if (clock.monotonicMs() - mLastHeartbeatMs >= heartbeatIntervalMs()) {
            sendHeartbeats(clock, out);
        }
    }

    private void bootstrap(ClockReading clock, List<ClaimAction> out) {
        if (!mLog.empty()) {
            return;
        }
        boolean firstEver = mReadFromLogStart && !mSawAnyRecord && lastReadIsRecent(clock);
        long coverageStartMs = firstEver ? DomainView.COVERS_ALL : coverageFromNow(clock);
        DomainView first =
                DomainView.first(clock.wallMs(), mUids.getAsLong(), mSelf, coverageStartMs);
        propose("reason=first", first, clock, out);
    }

    /**
     * True when a view that began after the last read can't have expired before a view proposed now
     * is appended; a reader then ignores the latter.
     */
    private boolean lastReadIsRecent(ClockReading clock) {
        return !mSuspensions.suspendedSinceTick(clock)
                && !mSuspensions.precedesResumption(mLastReadSentMs)
                && clock.monotonicMs() - mLastReadSentMs < mLimits.logRetentionMs() / 4;
    }

    /**
     * Coverage start of a view that begins without the earlier claims. Ids created up to this time
     * may have been claimed by members whose claims are lost; the factor of 3 allows for the skew
     * of their clocks, of the clocks that created the ids, and of this one.
     */
    private long coverageFromNow(ClockReading clock) {
        return clock.wallMs() + 3 * mLimits.clockSkewMs();
    }

    private void takeOverIfOthersDead(ClockReading clock, List<ClaimAction> out) {
        DomainView view = currentView().orElseThrow();
        view.memberAt(mSelf.address())
                .filter(member -> member.incarnation() < mSelf.incarnation())
                .ifPresent(mHealth::recordDeparture);
        List<Member> others =
                view.members().stream().filter(member -> !member.equals(mSelf)).toList();
        boolean presumedDead =
                others.stream()
                        .allMatch(member -> mHealth.presumedDead(member, clock.monotonicMs()));
        if (!mAtLogEnd || !presumedDead) {
            return;
        }
        if (others.stream().allMatch(mHealth::departed)) {
            proposeAlone("takeover", List.of(), coverageFromNow(clock), clock, out);
        } else {
            proposeAlone("fence", List.of(mSelf), coverageFromNow(clock), clock, out);
        }
    }

    /**
     * Proposes the view that follows a fence. A member of the view before it that holds its claims
     * has stopped granting under that view, so no claim is lost if it goes on by itself. Any other
     * VM waits until all those members must have stopped; only the knowledge of their claims is
     * lost then, which the coverage start accounts for.
     */
    private void endFence(ClockReading clock, List<ClaimAction> out) {
        if (mFencedView.isPresent()) {
            long coverageStartMs = mFencedView.get().coverageStartMs();
            proposeAlone("reclaim", List.of(), coverageStartMs, clock, out);
        } else if (mAtLogEnd && clock.monotonicMs() - mViewSinceMs >= mLimits.fenceMs()) {
            proposeAlone("fence-over", List.of(), coverageFromNow(clock), clock, out);
        }
    }

    /** Proposes a view of this member alone that follows the current one. */
    private void proposeAlone(
            String reason,
            List<Member> newcomers,
            long coverageStartMs,
            ClockReading clock,
            List<ClaimAction> out) {
        DomainView parent = currentView().orElseThrow();
        propose(
                "reason=" + reason,
                parent.successor(mUids.getAsLong(), List.of(mSelf), newcomers, coverageStartMs),
                clock,
                out);
    }

    void onLogReadQuery(
            Member from,
            ClaimMessage.LogReadQuery query,
            ClockReading clock,
            List<ClaimAction> out) {
        if (isCurrent(query.viewUid())) {
            mLease.answer(from, query, clock, out);
        }
    }

    void onLogReadAge(ClaimMessage.LogReadAge age) {
        if (isCurrent(age.viewUid())) {
            mLease.onLogReadAge(age);
        }
    }

    private boolean isCurrent(long viewUid) {
        return currentView().filter(view -> view.uid() == viewUid).isPresent();
    }

    private void maintainView(ClockReading clock, List<ClaimAction> out) {
        DomainView view = currentView().orElseThrow();
        boolean statementDue = mStatementTime.ageMs(clock) >= mLimits.restateAfterMs();
        boolean fromLog = mLog.currentFromLog();
        boolean intervalPassed =
                clock.monotonicMs() - mLastRestatementMs >= mLimits.restateAfterMs() / 8;
        if (statementDue && intervalPassed && fromLog) {
            restateView(clock, out);
        }
        Set<Member> next = mPlanner.nextMembers(view, clock.monotonicMs());
        boolean changed = !next.equals(Set.copyOf(view.members()));
        if (changed && mPlanner.proposes(view, clock.monotonicMs())) {
            proposeNextView(view, next, clock, out);
        }
    }

    private void proposeNextView(
            DomainView view, Set<Member> next, ClockReading clock, List<ClaimAction> out) {
        List<Member> newcomers = new ArrayList<>();
        for (Member member : next) {
            boolean holdsClaims =
                    member.equals(mSelf)
                            || view.establishedMembers().contains(member)
                            || mPeersWithAllClaims.contains(member);
            if (!holdsClaims) {
                newcomers.add(member);
            }
        }
        List<Member> members = new ArrayList<>(next);
        members.remove(mSelf);
        members.add(0, mSelf);
        propose(
                "reason=members",
                view.successor(mUids.getAsLong(), members, newcomers, view.coverageStartMs()),
                clock,
                out);
    }

    /**
     * Proposes a view, at most once per interval. A repeated proposal replaces one whose append may
     * have been lost; if both are appended, the log's order decides between them.
     */
    private void propose(
            String reason, DomainView next, ClockReading clock, List<ClaimAction> out) {
        long intervalMs = PROPOSAL_INTERVAL_FACTOR * mLimits.resendMs();
        if (clock.monotonicMs() - mLastProposalMs < intervalMs) {
            return;
        }
        mLastProposalMs = clock.monotonicMs();
        out.add(new ClaimAction.Log("propose-view", reason + evidence(clock), next.describe()));
        out.add(new ClaimAction.Append(ViewRecord.proposal(mDomain, next)));
    }

    /** What is known of the current view's other members, for the log. */
    private String evidence(ClockReading clock) {
        return currentView().map(DomainView::members).orElse(List.of()).stream()
                .filter(member -> !member.equals(mSelf))
                .map(member -> mHealth.describe(member, clock.monotonicMs()))
                .collect(Collectors.joining(", ", " members=[", "]"));
    }

    private void restateView(ClockReading clock, List<ClaimAction> out) {
        mLastRestatementMs = clock.monotonicMs();
        DomainView view = currentView().orElseThrow();
        ViewRecord record = ViewRecord.statement(mDomain, view, mLastReadOffset);
        out.add(new ClaimAction.Append(record));
    }

    private long heartbeatIntervalMs() {
        return mLimits.suspectMs() / HEARTBEATS_PER_SUSPECT_TIMEOUT;
    }

    private void sendHeartbeats(ClockReading clock, List<ClaimAction> out) {
        mLastHeartbeatMs = clock.monotonicMs();
        if (currentView().isEmpty()) {
            return;
        }
        DomainView view = currentView().get();
        for (Member member : view.members()) {
            if (member.address().equals(mSelf.address())) {
                continue;
            }
            if (inView()) {
                out.add(viewMessage(view, member, clock));
            } else {
                out.add(new ClaimAction.Send(member.address(), new ClaimMessage.Join()));
            }
        }
    }
}
