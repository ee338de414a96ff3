package org.boragegap.core.claim;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;
import org.boragegap.core.ClockReading;

/**
 * Keeps this member's place in its failure domain's view.
 *
 * <p>A view changes only by a record on the log, and the log's order decides between rivals. A
 * member moves from one view to the next at one instant and acknowledges nothing under a view that
 * it has left, so any one member that is in both views stops the earlier one.
 */
final class ViewManager {
    private static final int PROPOSAL_INTERVAL_FACTOR = 5;
    private static final int HEARTBEATS_PER_SUSPECT_TIMEOUT = 4;

    private final Member mSelf;
    private final String mDomain;
    private final ClaimLimits mLimits;
    private final LongSupplier mUids;
    private final ViewLog mLog;
    private final Map<Member, Long> mLastContactMs = new HashMap<>();
    private final Map<Member, Long> mJoinRequestMs = new HashMap<>();
    private final Set<Member> mDeparted = new HashSet<>();
    private final Set<Member> mUnlisted = new HashSet<>();
    private final Set<Member> mPeersWithAllClaims = new HashSet<>();
    private boolean mHasAllClaims;
    private final Map<Member, Long> mPeerSentMs = new HashMap<>();
    private boolean mSawAnyRecord;
    private boolean mReadFromLogStart;
    private boolean mAtLogEnd;
    private long mLastReadOffset = -1;
    private long mLastStatedMs = Long.MIN_VALUE / 2;
    private long mLastProposalMs = Long.MIN_VALUE / 2;
    private long mLastRestatementMs = Long.MIN_VALUE / 2;
    private long mLastHeartbeatMs = Long.MIN_VALUE / 2;
    private long mLastTickMs = Long.MIN_VALUE / 2;

    ViewManager(Member self, String domain, ClaimLimits limits, LongSupplier uids) {
        mSelf = self;
        mDomain = domain;
        mLimits = limits;
        mUids = uids;
        mLog = new ViewLog(limits.logRetentionMs());
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

    /**
     * True when this member may claim and acknowledge.
     *
     * <p>Guards against a view that nobody stated again within the log's retention: a VM that finds
     * no view on the log starts a new one, unknown to members that were paused or cut off
     * meanwhile. They stop on their own before that can happen.
     */
    boolean canClaim(ClockReading clock) {
        return mHasAllClaims
                && inView()
                && clock.monotonicMs() - mLastStatedMs < mLimits.viewExpiryMs();
    }

    /** Takes what the log brought; true when the head changed. */
    boolean onLog(LogBatch batch, ClockReading clock, List<ClaimAction> out) {
        Optional<DomainView> before = currentView();
        mReadFromLogStart = batch.firstOffset() == 0;
        mLog.readFrom(batch.firstOffset(), batch.nowMs());
        for (LoggedView logged : batch.views()) {
            onViewRecord(logged, clock);
        }
        mLastReadOffset = batch.nextOffset() - 1;
        mAtLogEnd = batch.atEnd();
        if (currentView().isEmpty() || currentView().equals(before)) {
            return false;
        }
        onViewChanged(clock, out);
        return true;
    }

    private void onViewRecord(LoggedView logged, ClockReading clock) {
        if (!logged.record().domain().equals(mDomain)) {
            return;
        }
        mSawAnyRecord = true;
        mLog.forgetBefore(logged.appendedMs() - mLimits.logRetentionMs());
        if (mLog.apply(logged)) {
            mLastStatedMs = clock.monotonicMs() - logged.ageMs();
        }
    }

    /** Takes a peer's view; true when the head changed. */
    boolean onViewIs(
            Member from, ClaimMessage.ViewIs is, ClockReading clock, List<ClaimAction> out) {
        mPeerSentMs.put(from, is.sentMs());
        boolean changed = mLog.adopt(is.view());
        if (changed) {
            mLastStatedMs = Long.MIN_VALUE / 2;
        }
        updateLastStated(is);
        if (changed) {
            onViewChanged(clock, out);
        }
        boolean sameView = is.view().uid() == currentView().map(DomainView::uid).orElse(0L);
        if (sameView && is.complete()) {
            mPeersWithAllClaims.add(from);
        }
        return changed;
    }

    /**
     * A VM that is cut off from the log alone learns from its peers when the view was stated. The
     * message may have lain in a queue while this process was paused; but it was made after the
     * time of ours that it echoes, so reckoning from there never makes a statement look younger.
     */
    private void updateLastStated(ClaimMessage.ViewIs is) {
        boolean sameView = is.view().uid() == currentView().map(DomainView::uid).orElse(0L);
        if (sameView && is.echoMs() != ClaimMessage.ViewIs.NO_ECHO) {
            mLastStatedMs = Math.max(mLastStatedMs, is.echoMs() - is.statedAgeMs());
        }
    }

    /** Tells a peer the view that is known here. */
    void sendView(Member to, ClockReading clock, List<ClaimAction> out) {
        currentView().ifPresent(view -> out.add(viewMessage(view, to, clock)));
    }

    private ClaimAction viewMessage(DomainView view, Member to, ClockReading clock) {
        long statedAgeMs = clock.monotonicMs() - mLastStatedMs;
        long echoMs = mPeerSentMs.getOrDefault(to, ClaimMessage.ViewIs.NO_ECHO);
        return new ClaimAction.Send(
                to.address(),
                new ClaimMessage.ViewIs(
                        view, mHasAllClaims, statedAgeMs, clock.monotonicMs(), echoMs));
    }

    private void onViewChanged(ClockReading clock, List<ClaimAction> out) {
        DomainView view = currentView().orElseThrow();
        boolean founder = view.establishedMembers().equals(List.of(mSelf)) && !mHasAllClaims;
        boolean veteran = view.establishedMembers().contains(mSelf);
        mHasAllClaims = veteran && (mHasAllClaims || founder);
        mPeersWithAllClaims.clear();
        mJoinRequestMs.keySet().removeAll(view.members());
        mDeparted.retainAll(view.members());
        mUnlisted.retainAll(view.members());
        for (Member member : view.members()) {
            mLastContactMs.put(member, clock.monotonicMs());
        }
        mLastContactMs.keySet().retainAll(view.members());
        mPeerSentMs.keySet().retainAll(view.members());
        if (inView() && view.members().get(0).equals(mSelf) && mLog.currentFromLog()) {
            restateView(clock, out);
        }
        sendHeartbeats(clock, out);
    }

    void recordContact(Member from, ClockReading clock) {
        mLastContactMs.computeIfPresent(from, (member, before) -> clock.monotonicMs());
        currentView()
                .flatMap(view -> view.memberAt(from.address()))
                .filter(member -> member.replacedBy(from))
                .filter(member -> member.incarnation() < from.incarnation())
                .ifPresent(mDeparted::add);
    }

    /**
     * The platform no longer lists the VMs at these addresses, and they are no newcomers to it. The
     * list may be wrong, so it counts only for members that are silent.
     */
    void onVmsUnlisted(Set<String> addresses) {
        mUnlisted.clear();
        for (Member member : currentView().map(DomainView::members).orElse(List.of())) {
            if (addresses.contains(member.address()) && !member.equals(mSelf)) {
                mUnlisted.add(member);
            }
        }
    }

    /** A member that leaves has finished its work and claims nothing any more. */
    void onLeave(Member from) {
        if (currentView().isPresent() && currentView().get().contains(from)) {
            mDeparted.add(from);
        }
    }

    void onJoin(Member from, ClockReading clock) {
        if (currentView().isPresent() && currentView().get().contains(from)) {
            return;
        }
        mJoinRequestMs.put(from, clock.monotonicMs());
    }

    /** All claims that the view covers have been fetched. */
    void onClaimsFetched() {
        mHasAllClaims = true;
    }

    void onTick(ClockReading clock, List<ClaimAction> out) {
        resetContactsAfterPause(clock);
        if (mAtLogEnd && currentView().isEmpty()) {
            mLog.forgetBefore(clock.wallMs() - mLimits.logRetentionMs() - mLimits.clockSkewMs());
            bootstrap(clock, out);
        } else if (currentView().isPresent() && !(inView() && mHasAllClaims)) {
            takeOverIfOthersDead(clock, out);
        } else if (canClaim(clock)) {
            maintainView(clock, out);
        }
        if (clock.monotonicMs() - mLastHeartbeatMs >= heartbeatIntervalMs()) {
            sendHeartbeats(clock, out);
        }
    }

    /** After a pause of this process, everyone else only seems to have been silent. */
    private void resetContactsAfterPause(ClockReading clock) {
        if (clock.monotonicMs() - mLastTickMs > mLimits.suspectMs() / 2) {
            mLastContactMs.replaceAll((member, heardMs) -> clock.monotonicMs());
        }
        mLastTickMs = clock.monotonicMs();
    }

    private void bootstrap(ClockReading clock, List<ClaimAction> out) {
        if (!mLog.empty()) {
            return;
        }
        boolean first = mReadFromLogStart && !mSawAnyRecord;
        long coverage = first ? DomainView.COVERS_ALL : coverageFromNow(clock);
        List<Member> members = List.of(mSelf);
        propose(
                new DomainView(
                        clock.wallMs(),
                        mUids.getAsLong(),
                        DomainView.NO_PARENT,
                        members,
                        List.of(),
                        coverage),
                clock,
                out);
    }

    /**
     * Ids up to this time may have been claimed by members whose memory is lost: their clocks, the
     * clocks of the ids and this clock may each be apart by the bound.
     */
    private long coverageFromNow(ClockReading clock) {
        return clock.wallMs() + 3 * mLimits.clockSkewMs();
    }

    private void takeOverIfOthersDead(ClockReading clock, List<ClaimAction> out) {
        DomainView view = currentView().orElseThrow();
        view.memberAt(mSelf.address())
                .filter(member -> member.incarnation() < mSelf.incarnation())
                .ifPresent(mDeparted::add);
        List<Member> others =
                view.members().stream().filter(member -> !member.equals(mSelf)).toList();
        if (mAtLogEnd && others.stream().allMatch(member -> presumedDead(member, clock))) {
            takeOver(view, clock, out);
        }
    }

    private boolean presumedDead(Member member, ClockReading clock) {
        return mDeparted.contains(member) || mUnlisted.contains(member) && silent(member, clock);
    }

    /** All former members are proved dead, so nothing but coverage is lost by starting afresh. */
    private void takeOver(DomainView lost, ClockReading clock, List<ClaimAction> out) {
        propose(
                new DomainView(
                        lost.number() + 1,
                        mUids.getAsLong(),
                        lost.uid(),
                        List.of(mSelf),
                        List.of(),
                        coverageFromNow(clock)),
                clock,
                out);
    }

    private void maintainView(ClockReading clock, List<ClaimAction> out) {
        DomainView view = currentView().orElseThrow();
        boolean oldStatement = clock.monotonicMs() - mLastStatedMs >= mLimits.restateAfterMs();
        boolean fromLog = mLog.currentFromLog();
        boolean pause = clock.monotonicMs() - mLastRestatementMs >= mLimits.restateAfterMs() / 8;
        if (oldStatement && pause && fromLog) {
            restateView(clock, out);
        }
        Set<Member> next = nextMembers(view, clock);
        boolean mine =
                clock.monotonicMs() - lastLeaderContactMs(view, clock)
                        >= proposalDelayMs(view, clock);
        if (!next.equals(new LinkedHashSet<>(view.members())) && mine) {
            proposeNextView(view, next, clock, out);
        }
    }

    private long lastLeaderContactMs(DomainView view, ClockReading clock) {
        return unsuspectedMembers(view, clock).get(0).equals(mSelf)
                ? clock.monotonicMs()
                : mLastContactMs.getOrDefault(
                        unsuspectedMembers(view, clock).get(0), clock.monotonicMs());
    }

    /** The first unsuspected member proposes; the others wait until it falls silent. */
    private long proposalDelayMs(DomainView view, ClockReading clock) {
        return unsuspectedMembers(view, clock).get(0).equals(mSelf) ? 0 : mLimits.suspectMs();
    }

    private List<Member> unsuspectedMembers(DomainView view, ClockReading clock) {
        return view.members().stream()
                .filter(member -> !suspected(member, clock))
                .sorted(Comparator.comparing(Member::address))
                .toList();
    }

    private boolean suspected(Member member, ClockReading clock) {
        if (member.equals(mSelf)) {
            return false;
        }
        return mDeparted.contains(member) || silent(member, clock);
    }

    private boolean silent(Member member, ClockReading clock) {
        long silentMs =
                clock.monotonicMs() - mLastContactMs.getOrDefault(member, clock.monotonicMs());
        return silentMs > mLimits.suspectMs();
    }

    private Set<Member> nextMembers(DomainView view, ClockReading clock) {
        Set<Member> next = new LinkedHashSet<>();
        for (Member member : view.members()) {
            if (!suspected(member, clock)) {
                next.add(member);
            }
        }
        mJoinRequestMs
                .values()
                .removeIf(asked -> clock.monotonicMs() - asked > mLimits.suspectMs());
        for (Member joiner : mJoinRequestMs.keySet()) {
            next.removeIf(member -> member.address().equals(joiner.address()));
            next.add(joiner);
        }
        return next;
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
                new DomainView(
                        view.number() + 1,
                        mUids.getAsLong(),
                        view.uid(),
                        List.copyOf(members),
                        List.copyOf(newcomers),
                        view.coverageStartMs()),
                clock,
                out);
    }

    /** A proposal whose append may be lost is made again; the log's order makes that harmless. */
    private void propose(DomainView next, ClockReading clock, List<ClaimAction> out) {
        long pauseMs = PROPOSAL_INTERVAL_FACTOR * mLimits.resendMs();
        if (clock.monotonicMs() - mLastProposalMs < pauseMs) {
            return;
        }
        mLastProposalMs = clock.monotonicMs();
        out.add(new ClaimAction.Append(ViewRecord.proposal(mDomain, next)));
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
