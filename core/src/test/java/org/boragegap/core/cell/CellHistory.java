package org.boragegap.core.cell;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.boragegap.core.ClockReading;

/**
 * One seeded history of a cell: four entry VMs, five targets, the store's group, callers that come
 * again, and failures at random moments. Everything runs on one simulated clock.
 */
final class CellHistory {
    static final int TASK_CPU = 1_000;
    static final long RESEND_MS = 1_300;
    private static final CellSettings SETTINGS = new CellSettings(FakeTarget.LEASE_MOST_MS, 2);
    private static final int VMS = 4;
    private static final int TARGETS = 5;
    private static final long LENGTH_MS = 14_000;
    private static final long FAULTS_UNTIL_MS = 10_000;
    private static final long JOIN_MS = 250;
    private static final long TICK_MS = 25;
    private static final long LIST_MS = 400;
    private static final long BUDGET_MS = 2_500;
    private static final long SERVE_ON_MOST_MS = 1_500;

    private final SplittableRandom mRandom;
    private final Hops mHops;
    private final CellOracle mOracle = new CellOracle();
    private final FakeGroup mGroup;
    private final List<FakeEntryVm> mVms = new ArrayList<>();
    private final Map<String, FakeTarget> mTargets = new HashMap<>();
    private final Set<String> mUnlisted = new HashSet<>();
    private final SimulatedClock mClock = new SimulatedClock();
    private long mNextTicket = 1;
    private int mNextTarget = 1;
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
        for (int i = 0; i < TARGETS; i++) {
            addTarget();
        }
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
        after(5, this::targetsStep);
        for (long at = 1_500; at < FAULTS_UNTIL_MS; at += 30 + mRandom.nextInt(90)) {
            int job = (int) at;
            after(at, () -> submit(FakeJobs.request(mRandom, job)));
        }
    }

    private List<String> run() {
        mClock.runUntil(LENGTH_MS, mOracle::at);
        mOracle.close();
        return mOracle.broken();
    }

    int finished() {
        return mOracle.finished();
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

    // Targets

    private void addTarget() {
        String id = "t" + mNextTarget++;
        mTargets.put(id, FakeTarget.drawn(id, mRandom, TASK_CPU, mOracle));
    }

    private void targetsStep() {
        mTargets.values().forEach(target -> target.at(mClock.nowMs()));
        after(5, this::targetsStep);
    }

    // Entry VMs

    private void start(FakeEntryVm vm) {
        vm.mLife++;
        vm.mAlive = true;
        vm.mFollowsTargets = false;
        vm.mStoodStillMs = 0;
        vm.mHeldBack.clear();
        vm.mCallers.clear();
        ClockReading began = clock(vm);
        vm.mMember = CellMember.create(vm.mAddress, 0, SETTINGS, FakeGroup.LEASE_MS, began);
        int life = vm.mLife;
        tick(vm, life);
        join(vm, life, true);
        list(vm, life);
    }

    private ClockReading clock(FakeEntryVm vm) {
        return new ClockReading(mClock.nowMs() - vm.mStoodStillMs, mClock.nowMs());
    }

    /** Runs something on a VM in this life of it; a frozen one does it when it wakes. */
    private void on(FakeEntryVm vm, int life, Runnable action) {
        if (!vm.mAlive || vm.mLife != life) {
            return;
        }
        if (mClock.nowMs() < Math.max(vm.mFrozenUntilMs, vm.mHeldUpUntilMs)) {
            vm.mHeldBack.add(() -> on(vm, life, action));
            return;
        }
        action.run();
    }

    private void feed(FakeEntryVm vm, int life, MemberEvent event) {
        on(
                vm,
                life,
                () -> {
                    List<MemberAction> actions = new ArrayList<>();
                    vm.mMember.on(event, clock(vm), actions);
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
        Set<String> peers = new HashSet<>(answer.addresses());
        peers.remove(vm.mAddress);
        after(
                mHops.storeHop(),
                () -> {
                    feed(vm, life, new MemberEvent.PeersListed(peers));
                    feed(
                            vm,
                            life,
                            new MemberEvent.Joined(answer.generation(), answer.holds(), sent));
                });
    }

    private void readMembers(FakeEntryVm vm, int life) {
        if (mStoreDown || vm.mStoreCut) {
            return;
        }
        after(
                mHops.storeHop(),
                () -> {
                    Set<String> peers = mGroup.addresses(mClock.nowMs());
                    peers.remove(vm.mAddress);
                    after(
                            mHops.storeHop(),
                            () -> feed(vm, life, new MemberEvent.PeersListed(peers)));
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
        List<TargetInfo> infos = new ArrayList<>();
        for (FakeTarget target : mTargets.values()) {
            if (target.alive() && !mUnlisted.contains(target.info().id())) {
                infos.add(target.info());
            }
        }
        feed(vm, life, new MemberEvent.ForController(new CellEvent.TargetsListed(infos)));
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
        TargetInfo info = Orders.target(order);
        FakeTarget target = mTargets.get(info.id());
        boolean cut = vm.mCutFrom.contains(info.id());
        boolean lost = chance(mPercent.mLost);
        boolean late = chance(mPercent.mLate);
        after(300 + Orders.waitMs(order), () -> feedControl(vm, life, Orders.unanswered(order)));
        if (target == null || cut) {
            return;
        }
        long delayMs = late ? 2_000 + mRandom.nextLong(4_000) : mHops.hop();
        long backMs = chance(mPercent.mSlow) ? 50 + mRandom.nextLong(200) : mHops.hop();
        after(
                delayMs,
                () -> {
                    if (target.alive()) {
                        execute(
                                target,
                                order,
                                event -> {
                                    if (!lost && !late && !vm.mCutFrom.contains(info.id())) {
                                        after(backMs, () -> feedControl(vm, life, event));
                                    }
                                });
                    }
                });
    }

    private void feedControl(FakeEntryVm vm, int life, CellEvent event) {
        feed(vm, life, new MemberEvent.ForController(event));
    }

    private void execute(FakeTarget target, CellAction order, Consumer<CellEvent> reply) {
        target.at(mClock.nowMs());
        if (order instanceof CellAction.ExtendLease extend) {
            target.extend(extend, reply);
        } else if (order instanceof CellAction.StartRun start) {
            long takesMs = mRandom.nextInt(6) == 0 ? 1_500 : 30 + mRandom.nextInt(300);
            target.start(start, takesMs, chance(2), reply);
        } else {
            target.stop((CellAction.StopRun) order, reply);
        }
    }

    // Callers

    private void submit(JobRequest request) {
        FakeEntryVm vm = mVms.get(mRandom.nextInt(VMS));
        mOracle.handedIn(request.id());
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
            case 2 -> freeze(vm, forMs);
            case 3 -> during(forMs, () -> vm.mStoreCut = true, () -> vm.mStoreCut = false);
            case 4 -> during(forMs, () -> cutOff(vm), vm.mCutFrom::clear);
            case 5 -> during(forMs, () -> mStoreDown = true, () -> mStoreDown = false);
            case 6 -> during(forMs, () -> mPercent.mLost = 20, () -> mPercent.mLost = 0);
            case 7 -> during(forMs, () -> mPercent.mLate = 10, () -> mPercent.mLate = 0);
            case 8 -> crashTarget();
            case 9 -> mGroup.deal();
            case 10 -> unlistSome(forMs);
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

    /** Stands still: its steady clock doesn't count the time, and what comes in waits. */
    private void freeze(FakeEntryVm vm, long forMs) {
        if (!vm.mAlive || mClock.nowMs() < vm.mFrozenUntilMs) {
            return;
        }
        vm.mFrozenUntilMs = mClock.nowMs() + forMs;
        int life = vm.mLife;
        after(
                forMs,
                () -> {
                    vm.mFrozenUntilMs = 0;
                    if (vm.mAlive && vm.mLife == life) {
                        vm.mStoodStillMs += forMs;
                        List<Runnable> held = new ArrayList<>(vm.mHeldBack);
                        vm.mHeldBack.clear();
                        held.forEach(Runnable::run);
                    }
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
        mTargets.keySet().stream()
                .sorted()
                .filter(id -> mRandom.nextBoolean())
                .forEach(vm.mCutFrom::add);
    }

    private void crashTarget() {
        List<String> ids = mTargets.keySet().stream().sorted().toList();
        FakeTarget target = mTargets.get(ids.get(mRandom.nextInt(ids.size())));
        if (target.alive()) {
            target.crash();
            after(500, this::addTarget);
        }
    }

    private void unlistSome(long forMs) {
        List<String> ids = mTargets.keySet().stream().sorted().filter(id -> chance(40)).toList();
        mUnlisted.addAll(ids);
        after(forMs, () -> mUnlisted.removeAll(ids));
    }
}
