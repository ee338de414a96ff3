package org.boragegap.core.cell;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.boragegap.core.ClockReading;
import org.boragegap.core.HistoryTrace;

/**
 * A seeded history of a cell: four entry VMs, five targets, the store's group, callers that submit
 * again, and failures at random times. Everything runs on one simulated clock.
 */
final class CellHistory {
    private static final CellSettings SETTINGS = new CellSettings(FakeTarget.MAX_LEASE_MS, 2);
    private static final int VMS = 4;

    /** VMs of a history in which zones are cut off. */
    private static final int ZONED_VMS = 7;

    private static final long DURATION_MS = 14_000;
    private static final long FAULTS_UNTIL_MS = 10_000;
    private static final long JOIN_INTERVAL_MS = 250;
    private static final long TICK_INTERVAL_MS = 25;
    private static final long TARGETS_POLL_MS = 400;
    private static final long MEMBERS_POLL_MS = 3_000;
    private static final long OPERATORS_POLL_MS = 50;
    private static final long EVACUATION_LIMIT_MS = 5_000;
    private static final long EVACUATION_GOAL_MS = 300;

    private final SplittableRandom mRandom;
    private final NetworkDelays mDelays;
    final InvariantChecker mInvariants = new InvariantChecker();
    private final FakeGroup mGroup;
    private final FakeHoldChecks mHoldChecks;
    private final List<FakeEntryVm> mVms = new ArrayList<>();
    private final SimulatedClock mClock = new SimulatedClock();
    final FakePlatform mPlatform;
    final OrderTransport mOrders;
    private final FakeCallers mCallers;
    private final PlannedStops mStops;
    final FakeNetwork mNetwork;
    final VmLosses mLosses;
    private final TermStatistics mTerms = new TermStatistics();
    private final HistoryTrace mTrace;
    private final FaultRates mRates = new FaultRates();

    CellHistory(long seed) {
        this(seed, HistoryTrace.NONE);
    }

    /** Creates a history that traces the actions of its processes and the injected failures. */
    CellHistory(long seed, HistoryTrace trace) {
        this(seed, trace, FakeGroup.LEASE_MS);
    }

    /**
     * Creates a history with another lease of the group.
     *
     * @param groupLeaseMs how long the group keeps a silent member, in ms
     */
    CellHistory(long seed, HistoryTrace trace, long groupLeaseMs) {
        this(seed, trace, groupLeaseMs, VMS);
    }

    private CellHistory(long seed, HistoryTrace trace, long groupLeaseMs, int vms) {
        mTrace = trace;
        mRandom = new SplittableRandom(seed);
        mDelays = new NetworkDelays(mRandom);
        mGroup = new FakeGroup(mRandom.split(), groupLeaseMs);
        mHoldChecks = new FakeHoldChecks(mClock, mDelays, seed);
        mPlatform = new FakePlatform(mClock, mRandom, mInvariants, trace);
        mOrders =
                new OrderTransport(mClock, mRandom, mDelays, mRates, mPlatform, mInvariants, trace);
        mCallers = new FakeCallers(mClock, mRandom, mInvariants, mVms, this::feed);
        for (int i = 0; i < vms; i++) {
            mVms.add(new FakeEntryVm("vm" + i));
        }
        mStops = new PlannedStops(mClock, mRandom, this::feed, this::leave);
        List<String> addresses = new ArrayList<>(mPlatform.addresses());
        mVms.forEach(vm -> addresses.add(vm.mAddress));
        mNetwork = new FakeNetwork(mClock, mRandom, trace, addresses);
        mLosses = new VmLosses(mClock, mRandom, mVms, this::kill);
        mVms.forEach(this::start);
    }

    /** Creates a history with enough VMs for zones of different sizes. */
    static CellHistory withZones(long seed, HistoryTrace trace) {
        return new CellHistory(seed, trace, FakeGroup.LEASE_MS, ZONED_VMS);
    }

    /** Simulates the usual failures while zones are cut off, with any share of the VMs. */
    List<String> playZoneCuts() {
        mNetwork.scheduleZoneCuts(1_700, FAULTS_UNTIL_MS);
        return play();
    }

    /**
     * Simulates cuts between VMs that all reach the store, which assigns the cell anew again and
     * again. Some tasks run for long.
     */
    List<String> playSplits(FakeGroup.Rebalances rebalances) {
        mNetwork.keepStore();
        rebalances.schedule(mGroup, mClock, mRandom, FAULTS_UNTIL_MS);
        return playZoneCuts();
    }

    /** Simulates callers without any failure but those that are scheduled. */
    List<String> playJobs() {
        scheduleJobs();
        return run();
    }

    /**
     * Simulates the usual failures while VMs are stopped as planned or killed one after the other.
     */
    List<String> playReassignmentsAndRestarts() {
        for (long at = 2_000; at < FAULTS_UNTIL_MS; at += 400 + mRandom.nextInt(1_200)) {
            FakeEntryVm vm = mVms.get(mRandom.nextInt(mVms.size()));
            boolean planned = mRandom.nextBoolean();
            long downMs = 300 + mRandom.nextLong(700);
            after(
                    at,
                    () -> {
                        if (planned) {
                            mStops.stop(vm);
                        } else {
                            kill(vm, downMs);
                        }
                    });
        }
        return play();
    }

    /** Simulates the usual failures while the store takes up to 340 ms for each answer. */
    List<String> playSlowStore() {
        mDelays.scheduleSlowStore(mClock);
        return play();
    }

    /** Simulates a rolling restart of all VMs without any other failure. */
    List<String> playRollingRestart() {
        scheduleJobs();
        for (FakeEntryVm vm : mVms) {
            after(2_000 + mVms.indexOf(vm) * 2_000L, () -> mStops.stop(vm));
        }
        return run();
    }

    /**
     * Simulates slow VMs without any failure: each alternately runs for 10 to 40 ms and is stalled
     * for 50 to 700 ms. A lease of the group lasts a second and is renewed four times in it, so a
     * VM that is stalled for longer has really lost it.
     */
    List<String> playSlowVms() {
        scheduleJobs();
        new StallInjector(mClock, mRandom).start(mVms);
        return run();
    }

    /**
     * Simulates the usual failures while operators evacuate domains and cancel evacuations, and the
     * capacity of targets shrinks and grows.
     */
    List<String> playEvacuationsAndResizes() {
        mInvariants.evacuateWithin(EVACUATION_LIMIT_MS);
        for (int i = 0; i < 3; i++) {
            long forMs = EVACUATION_LIMIT_MS + mRandom.nextLong(3_000);
            after(500 + mRandom.nextLong(4_000), () -> mPlatform.evacuateOne(forMs));
            after(1_000 + mRandom.nextLong(8_000), mPlatform::resizeSome);
        }
        return play();
    }

    /** Simulates the usual failures while several targets crash at once, repeatedly. */
    List<String> playMassCrashes() {
        mPlatform.scheduleMassCrashes(1_700, FAULTS_UNTIL_MS);
        return play();
    }

    /** Simulates the usual failures while targets restart under the same id. */
    List<String> playRestartsUnderTheSameId() {
        mPlatform.scheduleRestarts(1_700, FAULTS_UNTIL_MS);
        return play();
    }

    /** Simulates evacuations without failures; they are to take effect soon. */
    List<String> playEvacuationsWithoutFaults() {
        mInvariants.evacuateWithin(EVACUATION_GOAL_MS);
        for (int i = 0; i < 3; i++) {
            long forMs = 1_000 + mRandom.nextLong(3_000);
            after(1_500 + mRandom.nextLong(7_000), () -> mPlatform.evacuateOne(forMs));
        }
        return playJobs();
    }

    /**
     * Simulates VMs other than the controller that are down until no VM counts them any more, and
     * start again while the store takes up to 340 ms for each answer and rebalances now and then.
     */
    List<String> playNewVmsWithSlowStore() {
        mDelays.scheduleSlowStore(mClock);
        for (FakeEntryVm vm : mVms) {
            after(1_600 + mRandom.nextLong(900), () -> killFollower(vm));
        }
        for (int i = 0; i < 3; i++) {
            after(2_000 + mRandom.nextLong(6_000), mGroup::rebalance);
        }
        return playJobs();
    }

    private void killFollower(FakeEntryVm vm) {
        if (vm.mMember.fence().isEmpty()) {
            kill(vm, MEMBERS_POLL_MS + 2 * FakeGroup.LEASE_MS + mRandom.nextLong(1_000));
        }
    }

    /** Simulates the usual failures and returns the violations. */
    List<String> play() {
        scheduleJobs();
        int faults = 2 + mRandom.nextInt(6);
        for (int i = 0; i < faults; i++) {
            after(1_000 + mRandom.nextLong(FAULTS_UNTIL_MS - 1_000), this::injectFault);
        }
        return run();
    }

    private void scheduleJobs() {
        after(5, mPlatform::begin);
        for (long at = 1_500; at < FAULTS_UNTIL_MS; at += 30 + mRandom.nextInt(90)) {
            int job = (int) at;
            after(at, () -> mCallers.submit(FakeJobs.request(mRandom, job)));
        }
    }

    private List<String> run() {
        mClock.runUntil(DURATION_MS, mInvariants::setNow);
        mInvariants.close();
        return mInvariants.violations();
    }

    int finished() {
        return mInvariants.completedJobs();
    }

    /** Statistics of the terms that began. */
    TermStatistics terms() {
        return mTerms;
    }

    private void after(long delayMs, Runnable action) {
        mClock.after(delayMs, action);
    }

    private boolean chance(int percent) {
        return mRandom.nextInt(100) < percent;
    }

    // Entry VMs

    private void start(FakeEntryVm vm) {
        vm.beginIncarnation();
        ClockReading start = clock(vm);
        vm.mMember = CellMember.create(vm.mAddress, 0, SETTINGS, mGroup.leaseMs(), start);
        if (vm.mIncarnation == 1) {
            vm.mMember.firstStart();
        }
        int incarnation = vm.mIncarnation;
        tick(vm, incarnation);
        join(vm, incarnation, true);
        after(JOIN_INTERVAL_MS, () -> pollMembers(vm, incarnation));
        pollTargets(vm, incarnation);
        pollOperators(vm, incarnation);
    }

    private ClockReading clock(FakeEntryVm vm) {
        return vm.clock(mClock.nowMs());
    }

    private void inIncarnation(FakeEntryVm vm, int incarnation, Runnable action) {
        vm.inIncarnation(incarnation, mClock, action);
    }

    private void feed(FakeEntryVm vm, int incarnation, MemberEvent event) {
        inIncarnation(
                vm,
                incarnation,
                () -> {
                    List<MemberAction> actions = new ArrayList<>();
                    boolean wantedCell = vm.mMember.wantsCell();
                    vm.mMember.on(event, clock(vm), actions);
                    if (!wantedCell && vm.mMember.wantsCell()) {
                        mTerms.recordCandidacy(mClock.nowMs());
                    }
                    actions.forEach(action -> run(vm, action));
                });
    }

    private void tick(FakeEntryVm vm, int incarnation) {
        if (!vm.mAlive || vm.mIncarnation != incarnation) {
            return;
        }
        feed(vm, incarnation, new MemberEvent.Ticked());
        after(TICK_INTERVAL_MS, () -> inIncarnation(vm, incarnation, () -> tick(vm, incarnation)));
    }

    private void join(FakeEntryVm vm, int incarnation, boolean again) {
        inIncarnation(
                vm,
                incarnation,
                () -> {
                    if (again) {
                        after(JOIN_INTERVAL_MS, () -> join(vm, incarnation, true));
                    }
                    if (mNetwork.reachesStore(vm)) {
                        ClockReading sent = clock(vm);
                        boolean wants = vm.mMember.wantsCell();
                        after(mDelays.storeMs(), () -> joinAtStore(vm, incarnation, wants, sent));
                    }
                });
    }

    private void joinAtStore(FakeEntryVm vm, int incarnation, boolean wants, ClockReading sent) {
        FakeGroup.Answer answer =
                mGroup.join(
                        vm.mAddress + "/" + incarnation,
                        wants,
                        vm.mMember.generation(),
                        mClock.nowMs());
        MemberEvent joined = new MemberEvent.Joined(answer.generation(), answer.holds(), sent);
        after(mDelays.storeMs(), () -> feed(vm, incarnation, joined));
    }

    private void pollMembers(FakeEntryVm vm, int incarnation) {
        inIncarnation(
                vm,
                incarnation,
                () -> {
                    after(MEMBERS_POLL_MS, () -> pollMembers(vm, incarnation));
                    readMembers(vm, incarnation);
                });
    }

    /** Polls what operators have written, one read at a time. */
    private void pollOperators(FakeEntryVm vm, int incarnation) {
        boolean read = mNetwork.reachesStore(vm);
        inIncarnation(
                vm,
                incarnation,
                () -> after(mDelays.storeMs(), () -> operatorsPolled(vm, incarnation, read)));
    }

    private void operatorsPolled(FakeEntryVm vm, int incarnation, boolean read) {
        Set<String> domains = mPlatform.evacuatedDomains();
        if (!read || domains.equals(vm.mLastEvacuated)) {
            after(OPERATORS_POLL_MS, () -> pollOperators(vm, incarnation));
            return;
        }
        vm.mLastEvacuated = domains;
        CellEvent event = new CellEvent.DomainsEvacuated(domains);
        after(
                mDelays.storeMs(),
                () -> {
                    feedControl(vm, incarnation, event);
                    pollOperators(vm, incarnation);
                });
    }

    private void readMembers(FakeEntryVm vm, int incarnation) {
        if (!mNetwork.reachesStore(vm)) {
            return;
        }
        long sentMs = clock(vm).monotonicMs();
        after(
                mDelays.storeMs(),
                () -> {
                    Set<String> vms = mGroup.addresses(mClock.nowMs());
                    vms.remove(vm.mAddress);
                    after(
                            mDelays.storeMs(),
                            () -> feed(vm, incarnation, new MemberEvent.PeersListed(vms, sentMs)));
                });
    }

    private void pollTargets(FakeEntryVm vm, int incarnation) {
        inIncarnation(
                vm,
                incarnation,
                () -> {
                    after(TARGETS_POLL_MS, () -> pollTargets(vm, incarnation));
                    if (mNetwork.reachesStore(vm) && vm.mWatchesTargets) {
                        after(mDelays.peerMs(), () -> feedTargets(vm, incarnation));
                    }
                });
    }

    private void feedTargets(FakeEntryVm vm, int incarnation) {
        feedControl(vm, incarnation, new CellEvent.TargetsListed(mPlatform.listedTargets()));
    }

    private void run(FakeEntryVm vm, MemberAction action) {
        int incarnation = vm.mIncarnation;
        mTrace.record(mClock.nowMs(), vm.mAddress, action);
        if (action instanceof MemberAction.Send send) {
            send(vm, send);
        } else if (action instanceof MemberAction.Order order) {
            order(vm, incarnation, order.order());
        } else if (action instanceof MemberAction.Reply reply) {
            mCallers.replied(vm, reply.reply());
        } else if (action instanceof MemberAction.WatchTargets watch) {
            if (watch.watch()) {
                mTerms.recordTerm(vm.mAddress);
            }
            vm.mWatchesTargets = watch.watch();
            if (watch.watch() && mNetwork.reachesStore(vm)) {
                after(2 * mDelays.peerMs(), () -> feedTargets(vm, incarnation));
            }
        } else if (action instanceof MemberAction.ReadMembers) {
            readMembers(vm, incarnation);
        } else if (action instanceof MemberAction.CheckHold check && mNetwork.reachesStore(vm)) {
            mHoldChecks.send(mGroup, vm, check.check(), answer -> feed(vm, incarnation, answer));
        } else if (action instanceof MemberAction.Rejoin) {
            join(vm, incarnation, false);
        }
    }

    private void send(FakeEntryVm from, MemberAction.Send send) {
        FakeEntryVm to =
                mVms.stream().filter(vm -> vm.mAddress.equals(send.address())).findFirst().get();
        int incarnation = to.mIncarnation;
        if (mNetwork.connects(from, to)) {
            MemberEvent event = new MemberEvent.Received(from.mAddress, send.message());
            long delayMs =
                    chance(mRates.mLateMessages) ? 300 + mRandom.nextLong(1_500) : mDelays.peerMs();
            after(delayMs, () -> feed(to, incarnation, event));
        }
    }

    // Orders

    private void order(FakeEntryVm vm, int incarnation, CellAction order) {
        mOrders.send(
                order,
                () -> !mNetwork.connects(vm, Orders.target(order)),
                e -> feedControl(vm, incarnation, e));
    }

    private void feedControl(FakeEntryVm vm, int incarnation, CellEvent event) {
        feed(vm, incarnation, new MemberEvent.ForController(event));
    }

    // Failures

    private void injectFault() {
        FakeEntryVm vm = mVms.get(mRandom.nextInt(mVms.size()));
        long forMs = 200 + mRandom.nextLong(3_500);
        int kind = mRandom.nextInt(15);
        mTrace.record(mClock.nowMs(), vm.mAddress, "failure " + kind + " for " + forMs);
        switch (kind) {
            case 0, 1 -> kill(vm, 300 + mRandom.nextLong(1_500));
            case 2 -> vm.pause(mClock, forMs);
            case 3 -> mNetwork.rejectByStore(vm, forMs);
            case 4 -> mNetwork.disconnect(vm, mVms, mPlatform::randomTargets, forMs);
            case 5 -> mNetwork.storeOutage(forMs);
            case 6 -> during(forMs, () -> mRates.mLostAnswers = 20, () -> mRates.mLostAnswers = 0);
            case 7 -> during(forMs, () -> mRates.mLateOrders = 10, () -> mRates.mLateOrders = 0);
            case 8 -> mPlatform.crashOne();
            case 9 -> mGroup.rebalance();
            case 10 -> mPlatform.unlistSome(forMs);
            case 12 -> mStops.stop(vm);
            case 11 ->
                    during(forMs, () -> mRates.mLateMessages = 30, () -> mRates.mLateMessages = 0);
            case 13 -> during(forMs, () -> mRates.mSlowAnswers = 40, () -> mRates.mSlowAnswers = 0);
            default -> mVms.forEach(each -> kill(each, 300 + mRandom.nextLong(900)));
        }
    }

    private void during(long forMs, Runnable begin, Runnable end) {
        begin.run();
        after(forMs, end);
    }

    private void kill(FakeEntryVm vm, long downMs) {
        if (!vm.mAlive) {
            return;
        }
        vm.mAlive = false;
        mCallers.connectionsLost(vm);
        after(downMs, () -> start(vm));
    }

    /** Ends a VM that is stopped as planned; it starts again. */
    private void leave(FakeEntryVm vm) {
        if (mNetwork.reachesStore(vm)) {
            mGroup.leave(vm.member());
        }
        kill(vm, PlannedStops.DOWN_MS);
    }
}
