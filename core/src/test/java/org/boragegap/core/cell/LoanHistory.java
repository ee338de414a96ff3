package org.boragegap.core.cell;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.boragegap.core.ClockReading;
import org.boragegap.core.HistoryTrace;
import org.boragegap.core.loan.LenderDirectory;

/**
 * A seeded history of two cells that lend targets to each other: each has a burst of jobs in turn,
 * while VMs, targets, the store and the network fail. Everything runs on one simulated clock.
 */
final class LoanHistory {
    private static final int CELLS = 2;
    private static final int VMS = 4;
    private static final int TARGETS = 12;
    private static final CellLayout LAYOUT = CellLayout.ofCells(CELLS);
    private static final CellSettings SETTINGS = new CellSettings(FakeTarget.MAX_LEASE_MS, 2);
    private static final long DURATION_MS = 14_000;
    private static final long FAULTS_UNTIL_MS = 10_000;
    private static final long BURST_MS = 2_500;
    private static final long JOIN_INTERVAL_MS = 250;
    private static final long TICK_INTERVAL_MS = 25;
    private static final long TARGETS_POLL_MS = 400;
    private static final long BUDGET_MS = 2_500;

    private final SplittableRandom mRandom;
    private final NetworkDelays mDelays;
    private final FakeHoldChecks mHoldChecks;
    final InvariantChecker mInvariants = new InvariantChecker();
    private final List<FakeGroup> mGroups = new ArrayList<>();
    private final List<FakeEntryVm> mVms = new ArrayList<>();
    private final Map<FakeEntryVm, List<CellMember>> mMembers = new HashMap<>();
    private final Map<Long, JobRequest> mCallers = new HashMap<>();
    private final SimulatedClock mClock = new SimulatedClock();
    private final FaultRates mRates = new FaultRates();
    private final FakePlatform mPlatform;
    private final OrderTransport mOrders;
    private final HistoryTrace mTrace;
    private long mNextTicket = 1;
    private boolean mStoreDown;
    private int mBorrowedStarts;

    LoanHistory(long seed, HistoryTrace trace) {
        mTrace = trace;
        mRandom = new SplittableRandom(seed);
        mDelays = new NetworkDelays(mRandom);
        mHoldChecks = new FakeHoldChecks(mClock, mDelays, seed);
        mPlatform = new FakePlatform(mClock, mRandom, mInvariants, TARGETS, trace);
        mOrders =
                new OrderTransport(mClock, mRandom, mDelays, mRates, mPlatform, mInvariants, trace);
        for (int cell = 0; cell < CELLS; cell++) {
            mGroups.add(new FakeGroup(mRandom.split(), FakeGroup.LEASE_MS));
        }
        for (int i = 0; i < VMS; i++) {
            mVms.add(new FakeEntryVm("vm" + i));
        }
        mVms.forEach(this::start);
    }

    /** Simulates failures and returns the violations. */
    List<String> play() {
        int faults = 2 + mRandom.nextInt(8);
        for (int i = 0; i < faults; i++) {
            after(1_500 + mRandom.nextLong(FAULTS_UNTIL_MS - 1_500), this::injectFault);
        }
        return playWithoutFaults();
    }

    List<String> playWithoutFaults() {
        after(5, mPlatform::begin);
        for (long at = 1_500; at < FAULTS_UNTIL_MS; at += 5 + mRandom.nextInt(25)) {
            int burst = (int) (at / BURST_MS % CELLS);
            int cell = mRandom.nextInt(8) == 0 ? 1 - burst : burst;
            int job = jobOf(cell, (int) at);
            after(at, () -> submit(FakeJobs.request(mRandom, job)));
        }
        mClock.runUntil(DURATION_MS, mInvariants::setNow);
        mInvariants.close();
        return mInvariants.violations();
    }

    private static int jobOf(int cell, int at) {
        int number = 100 * at;
        while (LAYOUT.cellOfJob(String.format("%016x", number)) != cell) {
            number++;
        }
        return number;
    }

    int finished() {
        return mInvariants.completedJobs();
    }

    /** Number of tasks that were started on borrowed targets. */
    int borrowedStarts() {
        return mBorrowedStarts;
    }

    private void after(long delayMs, Runnable action) {
        mClock.after(delayMs, action);
    }

    private boolean chance(int percent) {
        return mRandom.nextInt(100) < percent;
    }

    // Entry VMs

    private void start(FakeEntryVm vm) {
        vm.mIncarnation++;
        vm.mAlive = true;
        vm.mPausedMs = 0;
        vm.mDeferred.clear();
        ClockReading start = vm.clock(mClock.nowMs());
        LenderDirectory directory = LenderDirectory.create();
        List<CellMember> members = new ArrayList<>();
        mMembers.put(vm, members);
        int incarnation = vm.mIncarnation;
        for (int cell = 0; cell < CELLS; cell++) {
            CellMember member =
                    CellMember.create(vm.mAddress, cell, SETTINGS, FakeGroup.LEASE_MS, start);
            member.deployment(CELLS, 1_000);
            member.lendAndBorrow(directory);
            members.add(member);
        }
        for (int cell = 0; cell < CELLS; cell++) {
            int own = cell;
            feedControl(vm, incarnation, cell, new CellEvent.DomainsEvacuated(Set.of()));
            every(TICK_INTERVAL_MS, vm, incarnation, () -> tick(vm, incarnation, own));
            every(JOIN_INTERVAL_MS, vm, incarnation, () -> join(vm, incarnation, own));
            every(TARGETS_POLL_MS, vm, incarnation, () -> readTargets(vm, incarnation, own));
        }
    }

    private void every(long intervalMs, FakeEntryVm vm, int incarnation, Runnable action) {
        vm.inIncarnation(
                incarnation,
                mClock,
                () -> {
                    action.run();
                    after(intervalMs, () -> every(intervalMs, vm, incarnation, action));
                });
    }

    private void tick(FakeEntryVm vm, int incarnation, int cell) {
        feed(vm, incarnation, cell, new MemberEvent.Ticked());
    }

    private void feed(FakeEntryVm vm, int incarnation, int cell, MemberEvent event) {
        vm.inIncarnation(
                incarnation,
                mClock,
                () -> {
                    List<MemberAction> actions = new ArrayList<>();
                    CellMember member = mMembers.get(vm).get(cell);
                    member.on(event, vm.clock(mClock.nowMs()), actions);
                    actions.forEach(action -> run(vm, cell, action));
                });
    }

    private void feedControl(FakeEntryVm vm, int incarnation, int cell, CellEvent event) {
        feed(vm, incarnation, cell, new MemberEvent.ForController(event));
    }

    private boolean reachesStore(FakeEntryVm vm) {
        return !mStoreDown && !vm.mStoreLost;
    }

    private void join(FakeEntryVm vm, int incarnation, int cell) {
        if (!reachesStore(vm)) {
            return;
        }
        ClockReading sent = vm.clock(mClock.nowMs());
        CellMember member = mMembers.get(vm).get(cell);
        boolean wants = member.wantsCell();
        after(
                mDelays.storeMs(),
                () -> {
                    FakeGroup.Answer answer =
                            mGroups.get(cell)
                                    .join(
                                            vm.mAddress + "/" + incarnation,
                                            wants,
                                            member.generation(),
                                            mClock.nowMs());
                    MemberEvent joined =
                            new MemberEvent.Joined(answer.generation(), answer.holds(), sent);
                    after(mDelays.storeMs(), () -> feed(vm, incarnation, cell, joined));
                });
    }

    private void checkHold(FakeEntryVm vm, int incarnation, int cell, Membership.HoldCheck check) {
        if (reachesStore(vm)) {
            mHoldChecks.send(
                    mGroups.get(cell), vm, check, answer -> feed(vm, incarnation, cell, answer));
        }
    }

    private void readMembers(FakeEntryVm vm, int incarnation, int cell) {
        if (!reachesStore(vm)) {
            return;
        }
        long sentMs = vm.clock(mClock.nowMs()).monotonicMs();
        after(
                mDelays.storeMs(),
                () -> {
                    Set<String> vms = mGroups.get(cell).addresses(mClock.nowMs());
                    vms.remove(vm.mAddress);
                    MemberEvent listed = new MemberEvent.PeersListed(vms, sentMs);
                    after(mDelays.storeMs(), () -> feed(vm, incarnation, cell, listed));
                });
    }

    private void readTargets(FakeEntryVm vm, int incarnation, int cell) {
        boolean watches = mMembers.get(vm).get(cell).fence().isPresent();
        if (watches && reachesStore(vm)) {
            List<TargetInfo> own =
                    mPlatform.listedTargets().stream()
                            .filter(target -> LAYOUT.cellOfTarget(target.id()) == cell)
                            .toList();
            CellEvent listed = new CellEvent.TargetsListed(own);
            after(mDelays.peerMs(), () -> feedControl(vm, incarnation, cell, listed));
        }
    }

    private void run(FakeEntryVm vm, int cell, MemberAction action) {
        int incarnation = vm.mIncarnation;
        mTrace.record(mClock.nowMs(), vm.mAddress + " cell " + cell, action);
        if (action instanceof MemberAction.Send send) {
            send(vm, send.address(), cell, send.message());
        } else if (action instanceof MemberAction.SendToCell send) {
            sendLoan(vm, send);
        } else if (action instanceof MemberAction.Order order) {
            order(vm, incarnation, cell, order.order());
        } else if (action instanceof MemberAction.Reply reply) {
            replied(reply.reply());
        } else if (action instanceof MemberAction.WatchTargets watch && watch.watch()) {
            after(2 * mDelays.peerMs(), () -> readTargets(vm, incarnation, cell));
        } else if (action instanceof MemberAction.ReadMembers) {
            readMembers(vm, incarnation, cell);
        } else if (action instanceof MemberAction.CheckHold check) {
            checkHold(vm, incarnation, cell, check.check());
        } else if (action instanceof MemberAction.Rejoin) {
            join(vm, incarnation, cell);
        }
    }

    /** Messages about loans are also lost, delivered twice, or delayed until the loan is over. */
    private void sendLoan(FakeEntryVm from, MemberAction.SendToCell send) {
        if (!chance(5)) {
            send(from, send.address(), send.cell(), send.message());
        }
        if (chance(10)) {
            FakeEntryVm to = vm(send.address());
            int incarnation = to.mIncarnation;
            MemberEvent event = new MemberEvent.Received(from.mAddress, send.message());
            after(mRandom.nextLong(4_000), () -> feed(to, incarnation, send.cell(), event));
        }
    }

    private FakeEntryVm vm(String address) {
        return mVms.stream().filter(vm -> vm.mAddress.equals(address)).findFirst().orElseThrow();
    }

    private void send(FakeEntryVm from, String address, int cell, CellMessage message) {
        FakeEntryVm to = vm(address);
        int incarnation = to.mIncarnation;
        boolean disconnected =
                from.mDisconnectedFrom.contains(to.mAddress)
                        || to.mDisconnectedFrom.contains(from.mAddress);
        if (!disconnected) {
            MemberEvent event = new MemberEvent.Received(from.mAddress, message);
            long delayMs =
                    chance(mRates.mLateMessages) ? 300 + mRandom.nextLong(1_500) : mDelays.peerMs();
            after(delayMs, () -> feed(to, incarnation, cell, event));
        }
    }

    private void order(FakeEntryVm vm, int incarnation, int cell, CellAction order) {
        if (order instanceof CellAction.StartRun start && start.fence() != start.term()) {
            mBorrowedStarts++;
        }
        mOrders.send(
                order,
                () -> vm.mDisconnectedFrom.contains(Orders.target(order).id()),
                event -> feedControl(vm, incarnation, cell, event));
    }

    // Callers

    private void submit(JobRequest request) {
        FakeEntryVm vm = mVms.get(mRandom.nextInt(VMS));
        mInvariants.submitted(request.id());
        if (!vm.mAlive) {
            after(FakeCallers.RESEND_MS, () -> submit(request));
            return;
        }
        long ticket = mNextTicket++;
        mCallers.put(ticket, request);
        EntryEvent event = new EntryEvent.Submitted(ticket, request, BUDGET_MS);
        int cell = LAYOUT.cellOfJob(request.id());
        feed(vm, vm.mIncarnation, cell, new MemberEvent.ForPendingJobs(event));
        int incarnation = vm.mIncarnation;
        after(
                BUDGET_MS + FakeCallers.RESEND_MS,
                () -> {
                    boolean restarted = vm.mIncarnation != incarnation || !vm.mAlive;
                    if (restarted && mCallers.remove(ticket) != null) {
                        submit(request);
                    }
                });
    }

    private void replied(EntryAction.Reply reply) {
        JobRequest request = mCallers.remove(reply.ticket());
        if (request == null) {
            return;
        }
        mInvariants.answered(request, reply.verdict());
        if (reply.verdict() instanceof Verdict.InDoubt) {
            after(FakeCallers.RESEND_MS, () -> submit(request));
        }
    }

    // Failures

    private void injectFault() {
        FakeEntryVm vm = mVms.get(mRandom.nextInt(VMS));
        long forMs = 200 + mRandom.nextLong(3_500);
        int kind = mRandom.nextInt(14);
        mTrace.record(mClock.nowMs(), vm.mAddress, "failure " + kind + " for " + forMs);
        switch (kind) {
            case 0, 1, 2 -> kill(vm, 300 + mRandom.nextLong(1_500));
            case 3, 4 -> vm.pause(mClock, forMs);
            case 5 -> during(forMs, () -> vm.mStoreLost = true, () -> vm.mStoreLost = false);
            case 6, 7 -> during(forMs, () -> disconnect(vm), vm.mDisconnectedFrom::clear);
            case 8 -> during(forMs, () -> mStoreDown = true, () -> mStoreDown = false);
            case 9 -> during(forMs, () -> mRates.mLostAnswers = 20, () -> mRates.mLostAnswers = 0);
            case 10 -> during(forMs, () -> mRates.mLateOrders = 10, () -> mRates.mLateOrders = 0);
            case 11 -> mPlatform.crashOne();
            case 12 -> mGroups.get(mRandom.nextInt(CELLS)).rebalance();
            default ->
                    during(forMs, () -> mRates.mLateMessages = 30, () -> mRates.mLateMessages = 0);
        }
    }

    private void during(long forMs, Runnable begin, Runnable end) {
        begin.run();
        after(forMs, end);
    }

    private void kill(FakeEntryVm vm, long downMs) {
        if (vm.mAlive) {
            vm.mAlive = false;
            after(downMs, () -> start(vm));
        }
    }

    private void disconnect(FakeEntryVm vm) {
        for (FakeEntryVm other : mVms) {
            if (other != vm && mRandom.nextBoolean()) {
                vm.mDisconnectedFrom.add(other.mAddress);
            }
        }
        vm.mDisconnectedFrom.addAll(mPlatform.randomTargets());
    }
}
