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
final class ViewKeeper {
    private static final int PROPOSE_PAUSE_FACTOR = 5;
    private static final int HEARTBEATS_PER_SUSPICION = 4;

    private final Member mSelf;
    private final String mDomain;
    private final ClaimLimits mLimits;
    private final LongSupplier mUids;
    private final ViewLog mLog;
    private final Map<Member, Long> mHeardMs = new HashMap<>();
    private final Map<Member, Long> mJoinersMs = new HashMap<>();
    private final Set<Member> mGone = new HashSet<>();
    private final Set<Member> mUnlisted = new HashSet<>();
    private final Set<Member> mCompletePeers = new HashSet<>();
    private boolean mComplete;
    private final Map<Member, Long> mSentMs = new HashMap<>();
    private boolean mSawAnyRecord;
    private boolean mWholeHistory;
    private boolean mReachedEnd;
    private long mReadUpTo = -1;
    private long mStatedMs = Long.MIN_VALUE / 2;
    private long mProposedMs = Long.MIN_VALUE / 2;
    private long mRestatedMs = Long.MIN_VALUE / 2;
    private long mHeartbeatMs = Long.MIN_VALUE / 2;
    private long mTickMs = Long.MIN_VALUE / 2;

    ViewKeeper(Member self, String domain, ClaimLimits limits, LongSupplier uids) {
        mSelf = self;
        mDomain = domain;
        mLimits = limits;
        mUids = uids;
        mLog = new ViewLog(limits.retentionMs());
    }

    Optional<DomainView> head() {
        return mLog.head();
    }

    boolean inView() {
        return head().isPresent() && head().get().contains(mSelf);
    }

    boolean complete() {
        return mComplete;
    }

    /**
     * True when this member may claim and acknowledge.
     *
     * <p>Guards against a view that nobody stated again within the log's retention: a VM that finds
     * no view on the log starts a new one, unknown to members that were paused or cut off
     * meanwhile. They stop on their own before that can happen.
     */
    boolean usable(ClockReading clock) {
        return mComplete && inView() && clock.monotonicMs() - mStatedMs < mLimits.lapseMs();
    }

    /** Takes what the log brought; true when the head changed. */
    boolean onLog(LogBatch batch, ClockReading clock, List<ClaimAction> out) {
        Optional<DomainView> before = head();
        mWholeHistory = batch.firstOffset() == 0;
        mLog.readFrom(batch.firstOffset(), batch.nowMs());
        for (LoggedView logged : batch.views()) {
            onLogged(logged, clock);
        }
        mReadUpTo = batch.nextOffset() - 1;
        mReachedEnd = batch.atEnd();
        if (head().isEmpty() || head().equals(before)) {
            return false;
        }
        onHeadChanged(clock, out);
        return true;
    }

    private void onLogged(LoggedView logged, ClockReading clock) {
        if (!logged.record().domain().equals(mDomain)) {
            return;
        }
        mSawAnyRecord = true;
        mLog.forgetBefore(logged.appendedMs() - mLimits.retentionMs());
        if (mLog.apply(logged)) {
            mStatedMs = clock.monotonicMs() - logged.ageMs();
        }
    }

    /** Takes a peer's view; true when the head changed. */
    boolean onViewIs(
            Member from, ClaimMessage.ViewIs is, ClockReading clock, List<ClaimAction> out) {
        mSentMs.put(from, is.sentMs());
        boolean changed = mLog.adopt(is.view());
        if (changed) {
            mStatedMs = Long.MIN_VALUE / 2;
        }
        learnStatement(is);
        if (changed) {
            onHeadChanged(clock, out);
        }
        boolean sameView = is.view().uid() == head().map(DomainView::uid).orElse(0L);
        if (sameView && is.complete()) {
            mCompletePeers.add(from);
        }
        return changed;
    }

    /**
     * A VM that is cut off from the log alone learns from its peers when the view was stated. The
     * message may have lain in a queue while this process was paused; but it was made after the
     * time of ours that it echoes, so reckoning from there never makes a statement look younger.
     */
    private void learnStatement(ClaimMessage.ViewIs is) {
        boolean sameView = is.view().uid() == head().map(DomainView::uid).orElse(0L);
        if (sameView && is.echoMs() != ClaimMessage.ViewIs.NO_ECHO) {
            mStatedMs = Math.max(mStatedMs, is.echoMs() - is.statedAgeMs());
        }
    }

    /** Tells a peer the view that is known here. */
    void tellView(Member to, ClockReading clock, List<ClaimAction> out) {
        head().ifPresent(view -> out.add(viewIs(view, to, clock)));
    }

    private ClaimAction viewIs(DomainView view, Member to, ClockReading clock) {
        long statedAgeMs = clock.monotonicMs() - mStatedMs;
        long echoMs = mSentMs.getOrDefault(to, ClaimMessage.ViewIs.NO_ECHO);
        return new ClaimAction.Send(
                to.address(),
                new ClaimMessage.ViewIs(view, mComplete, statedAgeMs, clock.monotonicMs(), echoMs));
    }

    private void onHeadChanged(ClockReading clock, List<ClaimAction> out) {
        DomainView view = head().orElseThrow();
        boolean founder = view.veterans().equals(List.of(mSelf)) && !mComplete;
        boolean veteran = view.veterans().contains(mSelf);
        mComplete = veteran && (mComplete || founder);
        mCompletePeers.clear();
        mJoinersMs.keySet().removeAll(view.members());
        mGone.retainAll(view.members());
        mUnlisted.retainAll(view.members());
        for (Member member : view.members()) {
            mHeardMs.put(member, clock.monotonicMs());
        }
        mHeardMs.keySet().retainAll(view.members());
        mSentMs.keySet().retainAll(view.members());
        if (inView() && view.members().get(0).equals(mSelf) && mLog.headFromLog()) {
            restate(clock, out);
        }
        sendHeartbeat(clock, out);
    }

    void heard(Member from, ClockReading clock) {
        mHeardMs.computeIfPresent(from, (member, before) -> clock.monotonicMs());
        head().flatMap(view -> view.memberAt(from.address()))
                .filter(member -> member.replacedBy(from))
                .filter(member -> member.incarnation() < from.incarnation())
                .ifPresent(mGone::add);
    }

    /**
     * The platform no longer lists the VMs at these addresses, and they are no newcomers to it. The
     * list may be wrong, so it counts only for members that are silent.
     */
    void onVmsGone(Set<String> addresses) {
        mUnlisted.clear();
        for (Member member : head().map(DomainView::members).orElse(List.of())) {
            if (addresses.contains(member.address()) && !member.equals(mSelf)) {
                mUnlisted.add(member);
            }
        }
    }

    /** A member that leaves has finished its work and claims nothing any more. */
    void onLeave(Member from) {
        if (head().isPresent() && head().get().contains(from)) {
            mGone.add(from);
        }
    }

    void onJoin(Member from, ClockReading clock) {
        if (head().isPresent() && head().get().contains(from)) {
            return;
        }
        mJoinersMs.put(from, clock.monotonicMs());
    }

    /** All claims that the view covers have been fetched. */
    void onFetched() {
        mComplete = true;
    }

    void onTick(ClockReading clock, List<ClaimAction> out) {
        forgiveOwnPause(clock);
        if (mReachedEnd && head().isEmpty()) {
            mLog.forgetBefore(clock.wallMs() - mLimits.retentionMs() - mLimits.skewMs());
            bootstrap(clock, out);
        } else if (head().isPresent() && !(inView() && mComplete)) {
            seekPlace(clock, out);
        } else if (usable(clock)) {
            tendView(clock, out);
        }
        if (clock.monotonicMs() - mHeartbeatMs >= heartbeatMs()) {
            sendHeartbeat(clock, out);
        }
    }

    /** After a pause of this process, everyone else only seems to have been silent. */
    private void forgiveOwnPause(ClockReading clock) {
        if (clock.monotonicMs() - mTickMs > mLimits.suspectMs() / 2) {
            mHeardMs.replaceAll((member, heardMs) -> clock.monotonicMs());
        }
        mTickMs = clock.monotonicMs();
    }

    private void bootstrap(ClockReading clock, List<ClaimAction> out) {
        if (!mLog.blank()) {
            return;
        }
        boolean first = mWholeHistory && !mSawAnyRecord;
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
        return clock.wallMs() + 3 * mLimits.skewMs();
    }

    private void seekPlace(ClockReading clock, List<ClaimAction> out) {
        DomainView view = head().orElseThrow();
        view.memberAt(mSelf.address())
                .filter(member -> member.incarnation() < mSelf.incarnation())
                .ifPresent(mGone::add);
        List<Member> others =
                view.members().stream().filter(member -> !member.equals(mSelf)).toList();
        if (mReachedEnd && others.stream().allMatch(member -> dead(member, clock))) {
            takeOver(view, clock, out);
        }
    }

    private boolean dead(Member member, ClockReading clock) {
        return mGone.contains(member) || mUnlisted.contains(member) && silent(member, clock);
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

    private void tendView(ClockReading clock, List<ClaimAction> out) {
        DomainView view = head().orElseThrow();
        boolean oldStatement = clock.monotonicMs() - mStatedMs >= mLimits.restateMs();
        boolean fromLog = mLog.headFromLog();
        boolean pause = clock.monotonicMs() - mRestatedMs >= mLimits.restateMs() / 8;
        if (oldStatement && pause && fromLog) {
            restate(clock, out);
        }
        Set<Member> next = nextMembers(view, clock);
        boolean mine = clock.monotonicMs() - heardLeaderMs(view, clock) >= myTurnMs(view, clock);
        if (!next.equals(new LinkedHashSet<>(view.members())) && mine) {
            proposeNext(view, next, clock, out);
        }
    }

    private long heardLeaderMs(DomainView view, ClockReading clock) {
        return leaders(view, clock).get(0).equals(mSelf)
                ? clock.monotonicMs()
                : mHeardMs.getOrDefault(leaders(view, clock).get(0), clock.monotonicMs());
    }

    /** The first unsuspected member proposes; the others wait until it falls silent. */
    private long myTurnMs(DomainView view, ClockReading clock) {
        return leaders(view, clock).get(0).equals(mSelf) ? 0 : mLimits.suspectMs();
    }

    private List<Member> leaders(DomainView view, ClockReading clock) {
        return view.members().stream()
                .filter(member -> !suspected(member, clock))
                .sorted(Comparator.comparing(Member::address))
                .toList();
    }

    private boolean suspected(Member member, ClockReading clock) {
        if (member.equals(mSelf)) {
            return false;
        }
        return mGone.contains(member) || silent(member, clock);
    }

    private boolean silent(Member member, ClockReading clock) {
        long silentMs = clock.monotonicMs() - mHeardMs.getOrDefault(member, clock.monotonicMs());
        return silentMs > mLimits.suspectMs();
    }

    private Set<Member> nextMembers(DomainView view, ClockReading clock) {
        Set<Member> next = new LinkedHashSet<>();
        for (Member member : view.members()) {
            if (!suspected(member, clock)) {
                next.add(member);
            }
        }
        mJoinersMs.values().removeIf(asked -> clock.monotonicMs() - asked > mLimits.suspectMs());
        for (Member joiner : mJoinersMs.keySet()) {
            next.removeIf(member -> member.address().equals(joiner.address()));
            next.add(joiner);
        }
        return next;
    }

    private void proposeNext(
            DomainView view, Set<Member> next, ClockReading clock, List<ClaimAction> out) {
        List<Member> newcomers = new ArrayList<>();
        for (Member member : next) {
            boolean holdsClaims =
                    member.equals(mSelf)
                            || view.veterans().contains(member)
                            || mCompletePeers.contains(member);
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
        long pauseMs = PROPOSE_PAUSE_FACTOR * mLimits.resendMs();
        if (clock.monotonicMs() - mProposedMs < pauseMs) {
            return;
        }
        mProposedMs = clock.monotonicMs();
        out.add(new ClaimAction.Append(ViewRecord.proposal(mDomain, next)));
    }

    private void restate(ClockReading clock, List<ClaimAction> out) {
        mRestatedMs = clock.monotonicMs();
        DomainView view = head().orElseThrow();
        ViewRecord record = ViewRecord.statement(mDomain, view, mReadUpTo);
        out.add(new ClaimAction.Append(record));
    }

    private long heartbeatMs() {
        return mLimits.suspectMs() / HEARTBEATS_PER_SUSPICION;
    }

    private void sendHeartbeat(ClockReading clock, List<ClaimAction> out) {
        mHeartbeatMs = clock.monotonicMs();
        if (head().isEmpty()) {
            return;
        }
        DomainView view = head().get();
        for (Member member : view.members()) {
            if (member.address().equals(mSelf.address())) {
                continue;
            }
            if (inView()) {
                out.add(viewIs(view, member, clock));
            } else {
                out.add(new ClaimAction.Send(member.address(), new ClaimMessage.Join()));
            }
        }
    }
}
