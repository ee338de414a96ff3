package org.boragegap.core.cell;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.boragegap.core.ClockReading;

/**
 * One seeded history of a cell: four entry VMs, five targets, the store's group, callers that come
 * again, and failures at random moments. Everything runs on one simulated clock.
 */
final class CellHistory {
    static final long RESEND_MS = 1_300;
    private static final CellSettings SETTINGS = new CellSettings(FakeTarget.MAX_LEASE_MS, 2);
    private static final int VMS = 4;
    private static final long LENGTH_MS = 14_000;
    private static final long FAULTS_UNTIL_MS = 10_000;
    private static final long JOIN_MS = 250;
    private static final long TICK_MS = 25;
    private static final long LIST_MS = 400;
    private static final long MEMBERS_MS = 3_000;
    private static final long OPERATORS_MS = 50;
    private static final long EVACUATE_MS = 5_000;
    private static final long EVACUATE_AIM_MS = 300;
    private static final long BUDGET_MS = 2_500;
    private static final long SERVE_ON_MOST_MS = 1_500;

    private final SplittableRandom mRandom;
    private final Hops mHops;
    private final InvariantChecker mOracle = new InvariantChecker();
    private final FakeGroup mGroup;
    private final List<FakeEntryVm> mVms = new ArrayList<>();
    private final SimulatedClock mClock = new SimulatedClock();
    private final FakePlatform mPlatform;
    private final OrderTransport mOrders;
    private long mNextTicket = 1;
    private final TermCount mTerms = new TermCount();
    private final Consumer<String> mTrace;
    private boolean mStoreDown;
    private final Disturbances mPercent = new Disturbances();

    CellHistory(long seed) {
        this(seed, line -> {});
    }

    /** Makes a history that tells what its entry VMs log and which failures it brings. */
    CellHistory(long seed, Consumer<String> trace) {
        mTrace = trace;
        mRandom = new SplittableRandom(seed);
        mHops = new Hops(mRandom);
        mGroup = new FakeGroup(mRandom.split());
        mPlatform = new FakePlatform(mClock, mRandom, mOracle);
        mOrders = new OrderTransport(mClock, mRandom, mHops, mPercent, mPlatform, mOracle);
        for (int i = 0; i < VMS; i++) {
            FakeEntryVm vm = new FakeEntryVm("vm" + i);
            mVms.add(vm);
            start(vm);
        }
    }

    /** Plays the usual failures while the store takes up to 340 ms for each answer. */
    List<String> playSlowStore() {
        mHops.slowStore(mClock);
        return play();
    }

    /** Plays a day on which all VMs are stopped and started in turn, and nothing else happens. */
    List<String> playRollingRestart() {
        bringJobs();
        for (int i = 0; i < VMS; i++) {
            FakeEntryVm vm = mVms.get(i);
            after(2_000 + i * 2_000L, () -> stopAsPlanned(vm));
        }
        return run();
    }

    /**
     * Plays a day without a failure on VMs that are all slow: each runs for 10 to 40 ms and is held
     * up for 50 to 700 ms, by turns. A lease of the group lasts a second and is renewed four times
     * in it, so a VM that is held up for longer has truly lost it.
     */
    List<String> playSlowVms() {
        bringJobs();
        new HoldUps(mClock, mRandom).begin(mVms);
        return run();
    }

    /**
     * Plays the usual failures while operators empty domains and take them back, and targets' room
     * shrinks and grows.
     */
    List<String> playEvacuationsAndRooms() {
        mOracle.evacuateWithin(EVACUATE_MS);
        for (int i = 0; i < 3; i++) {
            long forMs = EVACUATE_MS + mRandom.nextLong(3_000);
            after(500 + mRandom.nextLong(4_000), () -> mPlatform.evacuateOne(forMs));
            after(1_000 + mRandom.nextLong(8_000), mPlatform::resizeSome);
        }
        return play();
    }

    /** Plays the usual failures while some targets crash at once, again and again. */
    List<String> playCrashWaves() {
        int waves = 2 + mRandom.nextInt(3);
        for (int i = 0; i < waves; i++) {
            after(1_700 + mRandom.nextLong(FAULTS_UNTIL_MS - 1_700), mPlatform::crashSome);
        }
        return play();
    }

    /** Plays evacuations on an otherwise calm day; they are to be heeded soon. */
    List<String> playCalmEvacuations() {
        mOracle.evacuateWithin(EVACUATE_AIM_MS);
        for (int i = 0; i < 3; i++) {
            long forMs = 1_000 + mRandom.nextLong(3_000);
            after(1_500 + mRandom.nextLong(7_000), () -> mPlatform.evacuateOne(forMs));
        }
        bringJobs();
        return run();
    }

    /**
     * Plays a day on which VMs other than the controller are away for so long that nobody counts
     * them any more, and start again while the store takes up to 340 ms for each answer and deals
     * the cell anew now and then.
     */
    List<String> playNewcomersOfASlowStore() {
        mHops.slowStore(mClock);
        for (FakeEntryVm vm : mVms) {
            after(1_600 + mRandom.nextLong(900), () -> takeFollowerAway(vm));
        }
        for (int i = 0; i < 3; i++) {
            after(2_000 + mRandom.nextLong(6_000), mGroup::deal);
        }
        bringJobs();
        return run();
    }

    private void takeFollowerAway(FakeEntryVm vm) {
        if (vm.mMember.fence().isEmpty()) {
            kill(vm, MEMBERS_MS + 2 * FakeGroup.LEASE_MS + mRandom.nextLong(1_000));
        }
    }

    /** Plays the history and returns what it broke. */
    List<String> play() {
        bringJobs();
        int faults = 2 + mRandom.nextInt(6);
        for (int i = 0; i < faults; i++) {
            after(1_000 + mRandom.nextLong(FAULTS_UNTIL_MS - 1_000), this::fault);
        }
        return run();
    }

    private void bringJobs() {
        after(5, mPlatform::begin);
        for (long at = 1_500; at < FAULTS_UNTIL_MS; at += 30 + mRandom.nextInt(90)) {
            int job = (int) at;
            after(at, () -> submit(FakeJobs.request(mRandom, job)));
        }
    }

    private List<String> run() {
        mClock.runUntil(LENGTH_MS, mOracle::setNow);
        mOracle.close();
        return mOracle.violations();
    }

    int finished() {
        return mOracle.completedJobs();
    }

    /** The terms that began. */
    TermCount terms() {
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
        vm.mLife++;
        vm.mAlive = true;
        vm.mFollowsTargets = false;
        vm.mStoodStillMs = 0;
        vm.mHeldBack.clear();
        vm.mCallers.clear();
        vm.mToldEvacuated = null;
        ClockReading began = clock(vm);
        vm.mMember = CellMember.create(vm.mAddress, 0, SETTINGS, FakeGroup.LEASE_MS, began);
        int life = vm.mLife;
        tick(vm, life);
        join(vm, life, true);
        after(JOIN_MS, () -> members(vm, life));
        list(vm, life);
        operators(vm, life);
    }

    private ClockReading clock(FakeEntryVm vm) {
        return vm.clock(mClock.nowMs());
    }

    private void on(FakeEntryVm vm, int life, Runnable action) {
        vm.inLife(life, mClock, action);
    }

    private void feed(FakeEntryVm vm, int life, MemberEvent event) {
        on(
                vm,
                life,
                () -> {
                    List<MemberAction> actions = new ArrayList<>();
                    boolean asked = vm.mMember.wantsCell();
                    vm.mMember.on(event, clock(vm), actions);
                    if (!asked && vm.mMember.wantsCell()) {
                        mTerms.asked(mClock.nowMs());
                    }
                    actions.forEach(action -> run(vm, action));
                });
    }

    private void tick(FakeEntryVm vm, int life) {
        if (!vm.mAlive || vm.mLife != life) {
            return;
        }
        feed(vm, life, new MemberEvent.Ticked());
        after(TICK_MS, () -> on(vm, life, () -> tick(vm, life)));
    }

    private void join(FakeEntryVm vm, int life, boolean again) {
        on(
                vm,
                life,
                () -> {
                    if (again) {
                        after(JOIN_MS, () -> join(vm, life, true));
                    }
                    if (!mStoreDown && !vm.mStoreCut) {
                        ClockReading sent = clock(vm);
                        boolean asks = vm.mMember.wantsCell();
                        after(mHops.storeHop(), () -> joinAtStore(vm, life, asks, sent));
                    }
                });
    }

    private void joinAtStore(FakeEntryVm vm, int life, boolean asks, ClockReading sent) {
        FakeGroup.Answer answer =
                mGroup.join(
                        vm.mAddress + "/" + life, asks, vm.mMember.generation(), mClock.nowMs());
        MemberEvent joined = new MemberEvent.Joined(answer.generation(), answer.holds(), sent);
        after(mHops.storeHop(), () -> feed(vm, life, joined));
    }

    private void members(FakeEntryVm vm, int life) {
        on(
                vm,
                life,
                () -> {
                    after(MEMBERS_MS, () -> members(vm, life));
                    readMembers(vm, life);
                });
    }

    /** Follows what operators write, one read at a time. */
    private void operators(FakeEntryVm vm, int life) {
        boolean read = !mStoreDown && !vm.mStoreCut;
        on(vm, life, () -> after(mHops.storeHop(), () -> operatorsRead(vm, life, read)));
    }

    private void operatorsRead(FakeEntryVm vm, int life, boolean read) {
        Set<String> domains = mPlatform.evacuatedDomains();
        if (!read || domains.equals(vm.mToldEvacuated)) {
            after(OPERATORS_MS, () -> operators(vm, life));
            return;
        }
        vm.mToldEvacuated = domains;
        CellEvent event = new CellEvent.DomainsEvacuated(domains);
        after(
                mHops.storeHop(),
                () -> {
                    feedControl(vm, life, event);
                    operators(vm, life);
                });
    }

    private void readMembers(FakeEntryVm vm, int life) {
        if (mStoreDown || vm.mStoreCut) {
            return;
        }
        long askedMs = clock(vm).monotonicMs();
        after(
                mHops.storeHop(),
                () -> {
                    Set<String> peers = mGroup.addresses(mClock.nowMs());
                    peers.remove(vm.mAddress);
                    after(
                            mHops.storeHop(),
                            () -> feed(vm, life, new MemberEvent.PeersListed(peers, askedMs)));
                });
    }

    private void list(FakeEntryVm vm, int life) {
        on(
                vm,
                life,
                () -> {
                    after(LIST_MS, () -> list(vm, life));
                    if (!mStoreDown && !vm.mStoreCut && vm.mFollowsTargets) {
                        after(mHops.hop(), () -> feedList(vm, life));
                    }
                });
    }

    private void feedList(FakeEntryVm vm, int life) {
        feedControl(vm, life, new CellEvent.TargetsListed(mPlatform.listedTargets()));
    }

    private void run(FakeEntryVm vm, MemberAction action) {
        int life = vm.mLife;
        if (action instanceof MemberAction.Send send) {
            send(vm, send);
        } else if (action instanceof MemberAction.Order order) {
            order(vm, life, order.order());
        } else if (action instanceof MemberAction.Reply reply) {
            replied(vm, reply.reply());
        } else if (action instanceof MemberAction.FollowTargets follow) {
            if (follow.follow()) {
                mTerms.began(vm.mAddress);
            }
            vm.mFollowsTargets = follow.follow();
            if (follow.follow() && !mStoreDown && !vm.mStoreCut) {
                after(2 * mHops.hop(), () -> feedList(vm, life));
            }
        } else if (action instanceof MemberAction.ReadMembers) {
            readMembers(vm, life);
        } else if (action instanceof MemberAction.JoinAgain) {
            join(vm, life, false);
        } else if (action instanceof MemberAction.Log log) {
            mTrace.accept(mClock.nowMs() + " " + vm.mAddress + " " + log.decision());
        }
    }

    private void send(FakeEntryVm from, MemberAction.Send send) {
        FakeEntryVm to =
                mVms.stream().filter(vm -> vm.mAddress.equals(send.address())).findFirst().get();
        int life = to.mLife;
        boolean cut = from.mCutFrom.contains(to.mAddress) || to.mCutFrom.contains(from.mAddress);
        if (!cut) {
            MemberEvent event = new MemberEvent.Received(from.mAddress, send.message());
            long delayMs = chance(mPercent.mHeld) ? 300 + mRandom.nextLong(1_500) : mHops.hop();
            after(delayMs, () -> feed(to, life, event));
        }
    }

    // Orders

    private void order(FakeEntryVm vm, int life, CellAction order) {
        mOrders.send(order, () -> isCut(vm, order), event -> feedControl(vm, life, event));
    }

    private static boolean isCut(FakeEntryVm vm, CellAction order) {
        return vm.mCutFrom.contains(Orders.target(order).id());
    }

    private void feedControl(FakeEntryVm vm, int life, CellEvent event) {
        feed(vm, life, new MemberEvent.ForController(event));
    }

    // Callers

    private void submit(JobRequest request) {
        FakeEntryVm vm = mVms.get(mRandom.nextInt(VMS));
        mOracle.submitted(request.id());
        if (!vm.mAlive) {
            after(RESEND_MS, () -> submit(request));
            return;
        }
        long ticket = mNextTicket++;
        vm.mCallers.put(ticket, request);
        EntryEvent event = new EntryEvent.Submitted(ticket, request, BUDGET_MS);
        feed(vm, vm.mLife, new MemberEvent.ForDesk(event));
    }

    private void replied(FakeEntryVm vm, EntryAction.Reply reply) {
        JobRequest request = vm.mCallers.remove(reply.ticket());
        if (request == null) {
            return;
        }
        mOracle.answered(request, reply.verdict());
        if (reply.verdict() instanceof Verdict.InDoubt) {
            after(RESEND_MS, () -> submit(request));
        }
    }

    // Failures

    private void fault() {
        FakeEntryVm vm = mVms.get(mRandom.nextInt(VMS));
        long forMs = 200 + mRandom.nextLong(3_500);
        int kind = mRandom.nextInt(15);
        mTrace.accept(mClock.nowMs() + " failure " + kind + " of " + vm.mAddress + " for " + forMs);
        switch (kind) {
            case 0, 1 -> kill(vm, 300 + mRandom.nextLong(1_500));
            case 2 -> vm.freeze(mClock, forMs);
            case 3 -> during(forMs, () -> vm.mStoreCut = true, () -> vm.mStoreCut = false);
            case 4 -> during(forMs, () -> cutOff(vm), vm.mCutFrom::clear);
            case 5 -> during(forMs, () -> mStoreDown = true, () -> mStoreDown = false);
            case 6 -> during(forMs, () -> mPercent.mLost = 20, () -> mPercent.mLost = 0);
            case 7 -> during(forMs, () -> mPercent.mLate = 10, () -> mPercent.mLate = 0);
            case 8 -> mPlatform.crashOne();
            case 9 -> mGroup.deal();
            case 10 -> mPlatform.unlistSome(forMs);
            case 12 -> stopAsPlanned(vm);
            case 11 -> during(forMs, () -> mPercent.mHeld = 30, () -> mPercent.mHeld = 0);
            case 13 -> during(forMs, () -> mPercent.mSlow = 40, () -> mPercent.mSlow = 0);
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
        List<JobRequest> broken = new ArrayList<>(vm.mCallers.values());
        broken.forEach(request -> after(RESEND_MS, () -> submit(request)));
        after(downMs, () -> start(vm));
    }

    /** Gives the cell up, answers what waits, leaves the group when it may, and starts again. */
    private void stopAsPlanned(FakeEntryVm vm) {
        if (vm.mAlive && mClock.nowMs() >= vm.mFrozenUntilMs) {
            int life = vm.mLife;
            feed(vm, life, new MemberEvent.Resigned());
            after(mRandom.nextLong(SERVE_ON_MOST_MS), () -> close(vm, life));
        }
    }

    private void close(FakeEntryVm vm, int life) {
        feed(vm, life, new MemberEvent.Closed());
        lookDrained(vm, life);
    }

    private void lookDrained(FakeEntryVm vm, int life) {
        on(
                vm,
                life,
                () -> {
                    boolean drained =
                            vm.mMember.waitingCallers() == 0 && vm.mMember.mayLeave(clock(vm));
                    if (!drained) {
                        after(TICK_MS, () -> lookDrained(vm, life));
                        return;
                    }
                    if (!mStoreDown && !vm.mStoreCut) {
                        mGroup.leave(vm.member());
                    }
                    kill(vm, 500);
                });
    }

    private void cutOff(FakeEntryVm vm) {
        boolean all = mRandom.nextBoolean();
        mVms.forEach(
                other -> {
                    if (other != vm && (all || mRandom.nextBoolean())) {
                        vm.mCutFrom.add(other.mAddress);
                    }
                });
        vm.mCutFrom.addAll(mPlatform.randomTargets());
    }
}
