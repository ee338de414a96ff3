package org.boragegap.core.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import org.boragegap.core.claim.ClaimLimits;
import org.boragegap.core.claim.LogBatch;
import org.boragegap.core.claim.LoggedView;
import org.boragegap.core.claim.Member;
import org.boragegap.core.job.Answer;
import org.boragegap.core.job.FailureKind;
import org.boragegap.core.job.Outcome;
import org.boragegap.core.job.RefusalCause;
import org.boragegap.core.job.Resources;
import org.boragegap.core.job.Submission;
import org.boragegap.core.job.SubmissionId;
import org.boragegap.core.job.TaskSpec;
import org.boragegap.core.membership.ListedVm;
import org.boragegap.core.membership.VmKind;

/**
 * One simulated history, determined by its seed: a few entry VMs in up to three failure domains,
 * jobs that are submitted repeatedly to random VMs, and failures at random times. It counts the
 * starts of every task.
 */
final class History {
    static final ClaimLimits LIMITS =
            new ClaimLimits(40_000, 300, 4_000, 250, 1_000, 30_000, 5_000);
    private static final long START_MS = 1_800_000_000_000L;
    private static final long TICK_MS = 250;
    private static final long LENGTH_MS = 60_000;
    private static final int JOBS = 12;
    private static final int TASKS = 2;
    private static final long DEADLINE_MS = 8_000;
    private static final long LIST_READ_MS = 1_000;
    private static final long LIST_LAG_MS = 2_000;

    private record Scheduled(long atMs, long sequence, Runnable action) {}

    private final SplittableRandom mRandom;
    private final boolean mListUnreliable;
    private final int mDomains;
    private final FakeVmList mList = new FakeVmList();
    private final FakeLog mLog = new FakeLog(LIMITS.logRetentionMs());
    private final PriorityQueue<Scheduled> mEvents =
            new PriorityQueue<>(
                    Comparator.comparingLong(Scheduled::atMs)
                            .thenComparingLong(Scheduled::sequence));
    private final Map<String, FakeVm> mVms = new HashMap<>();
    private final Set<String> mCutPairs = new HashSet<>();
    private final Set<String> mCutFromLog = new HashSet<>();
    private final Map<String, Integer> mStarts = new HashMap<>();
    private final Map<Long, String> mOpenCallers = new HashMap<>();
    private final Map<Long, FakeVm> mLinks = new HashMap<>();
    private final Map<FailureKind, Integer> mFailed = new HashMap<>();
    private final List<String> mViolations = new ArrayList<>();
    private final List<String> mDecisions = new ArrayList<>();
    private long mNowMs = START_MS;
    private long mSequence;
    private long mNextCaller = 1;
    private long mNextLink = 1;
    private int mComplete;

    /** Creates a history in which the list of VMs is always right. */
    History(long seed) {
        this(seed, false);
    }

    private History(long seed, boolean listUnreliable) {
        mRandom = new SplittableRandom(seed);
        mListUnreliable = listUnreliable;
        mDomains = 1 + mRandom.nextInt(3);
        int vmsEach = mDomains == 1 ? 2 + mRandom.nextInt(3) : 2;
        for (int domain = 0; domain < mDomains; domain++) {
            for (int i = 0; i < vmsEach; i++) {
                startVm("vm" + domain + i + ":1", domain);
            }
        }
        at(3_000, this::submitAll);
        at(2_500, this::scheduleFailures);
    }

    /**
     * Creates a history in which, besides the usual failures, the list lacks running VMs for some
     * of its readers, failure domains are isolated, and all VMs of one are replaced by others.
     */
    static History withUnreliableList(long seed) {
        return new History(seed, true);
    }

    /** Runs the history and returns the violations of the dispatchers' guarantees. */
    List<String> run() {
        long endMs = START_MS + LENGTH_MS;
        while (!mEvents.isEmpty() && mEvents.peek().atMs() <= endMs) {
            Scheduled next = mEvents.poll();
            mNowMs = next.atMs();
            next.action().run();
        }
        return mViolations;
    }

    /** The decisions that the dispatchers logged. */
    List<String> decisions() {
        return mDecisions;
    }

    int complete() {
        return mComplete;
    }

    int starts() {
        return mStarts.values().stream().mapToInt(Integer::intValue).sum();
    }

    Map<FailureKind, Integer> failed() {
        return mFailed;
    }

    private void at(long delayMs, Runnable action) {
        mEvents.add(new Scheduled(mNowMs + delayMs, mSequence++, action));
    }

    private long random(long bound) {
        return mRandom.nextLong(bound);
    }

    private boolean chance(int percent) {
        return mRandom.nextInt(100) < percent;
    }

    private FakeVm randomVm() {
        List<String> addresses = new ArrayList<>(mVms.keySet());
        addresses.sort(Comparator.naturalOrder());
        return mVms.get(addresses.get(mRandom.nextInt(addresses.size())));
    }

    private void startVm(String address, int domain) {
        Member member = new Member(address, mNowMs + 1);
        List<String> domains = new ArrayList<>();
        for (int i = 0; i < mDomains; i++) {
            domains.add("fd" + i);
        }
        DispatchSettings settings = DispatchSettings.defaults("fd" + domain, domains);
        Dispatcher dispatcher = Dispatcher.create(member, settings, LIMITS, mRandom.split());
        long skewMs = random(2 * LIMITS.clockSkewMs() + 1) / 2 - LIMITS.clockSkewMs() / 2;
        FakeVm vm = new FakeVm(member, domain, dispatcher, skewMs);
        mVms.put(address, vm);
        at(1, () -> tick(vm));
        at(1 + random(50), () -> readLog(vm));
        at(2, () -> readVmList(vm));
    }

    private void readVmList(FakeVm vm) {
        if (!vm.mAlive) {
            return;
        }
        deliverVmList(vm);
        if (mListUnreliable) {
            at(LIST_READ_MS, () -> readVmList(vm));
        }
    }

    private void deliverVmList(FakeVm vm) {
        List<ListedVm> vms = new ArrayList<>();
        for (FakeVm other : mVms.values()) {
            if (!mList.lists(vm.mMember.address(), other.mMember.address())) {
                continue;
            }
            vms.add(listed(other.mMember.address(), other.mDomain, VmKind.ENTRY));
        }
        for (int domain = 0; domain < mDomains; domain++) {
            vms.add(listed("worker" + domain + ":1", domain, VmKind.WORKER));
            vms.add(listed("worker" + domain + ":2", domain, VmKind.WORKER));
        }
        deliver(vm, new Event.VmsListed(vms));
    }

    private static ListedVm listed(String address, int domain, VmKind kind) {
        Resources capacity = new Resources(100_000, 100_000, 0);
        return new ListedVm(address, "fd" + domain, kind, "", false, capacity, 64);
    }

    private void tick(FakeVm vm) {
        if (!vm.mAlive) {
            return;
        }
        at(TICK_MS, () -> tick(vm));
        if (!vm.mPaused) {
            deliver(vm, new Event.Ticked());
        }
    }

    private void readLog(FakeVm vm) {
        if (!vm.mAlive) {
            return;
        }
        at(250 + random(250), () -> readLog(vm));
        if (vm.mPaused || mCutFromLog.contains(vm.mMember.address())) {
            return;
        }
        int first = mLog.firstOffset(mNowMs);
        if (first > vm.mLogOffset) {
            vm.mFirstOffset = first;
        }
        List<LoggedView> views = mLog.read(vm.mLogOffset, mNowMs);
        vm.mLogOffset = mLog.endOffset();
        LogBatch batch = new LogBatch(views, vm.mFirstOffset, vm.mLogOffset, mNowMs, true);
        at(random(8), () -> deliver(vm, new Event.LogRead(batch, List.of())));
    }

    /** Delivers an event to a VM; a paused VM handles it when it resumes. */
    private void deliver(FakeVm vm, Event event) {
        if (!vm.mAlive) {
            return;
        }
        if (vm.mPaused) {
            vm.mDeferred.add(() -> deliver(vm, event));
            return;
        }
        List<Action> actions = new ArrayList<>();
        vm.mDispatcher.onEvent(event, vm.clock(mNowMs), actions);
        checkRefusals(event, actions);
        // A process may be paused between a decision and the send that executes it.
        if (chance(1) && chance(30)) {
            pause(vm);
            vm.mDeferred.add(() -> actions.forEach(action -> execute(vm, action)));
            return;
        }
        actions.forEach(action -> execute(vm, action));
    }

    private void execute(FakeVm vm, Action action) {
        if (action instanceof Action.SendClaimMessage tell) {
            send(vm, tell.address(), new Event.ClaimMessageReceived(vm.mMember, tell.message()));
        } else if (action instanceof Action.SendLoanMessage tell) {
            send(
                    vm,
                    tell.address(),
                    new Event.LoanMessageReceived(vm.mMember.address(), tell.message()));
        } else if (action instanceof Action.AppendView append) {
            append(vm, append);
        } else if (action instanceof Action.Forward forward) {
            forward(vm, forward);
        } else if (action instanceof Action.Start start) {
            start(vm, start);
        } else if (action instanceof Action.Reply reply) {
            reply(vm, reply);
        } else if (action instanceof Action.Log log) {
            mDecisions.add(mNowMs - START_MS + " " + vm.mMember + " " + log);
        }
    }

    private boolean cut(FakeVm from, String to) {
        String one = from.mMember.address();
        return mCutPairs.contains(one + to) || mCutPairs.contains(to + one);
    }

    private void send(FakeVm from, String to, Event event) {
        if (cut(from, to) || chance(2)) {
            return;
        }
        FakeVm target = mVms.get(to);
        at(1 + random(chance(3) ? 3_000 : 3), () -> deliver(target, event));
    }

    private void append(FakeVm vm, Action.AppendView append) {
        boolean lost = mCutFromLog.contains(vm.mMember.address()) && chance(80);
        if (!lost) {
            long delayMs = chance(10) ? random(6_000) : 2 + random(10);
            at(delayMs, () -> mLog.append(append.record(), mNowMs));
        }
    }

    private void forward(FakeVm from, Action.Forward forward) {
        FakeVm to = mVms.get(forward.address());
        if (cut(from, forward.address()) || to == null) {
            at(5, () -> deliver(from, lost(forward, false)));
            return;
        }
        long link = mNextLink++;
        mLinks.put(link, from);
        CallerRef caller = new CallerRef.PeerCaller(link, forward.forwardId());
        Event event = new Event.Submitted(caller, forward.submission(), false, forward.hops());
        at(1 + random(3), () -> deliver(to, event));
        at(3_000, () -> checkForward(from, to, forward));
    }

    private void checkForward(FakeVm from, FakeVm to, Action.Forward forward) {
        if (!to.mAlive || to.mPaused || cut(from, to.mMember.address())) {
            deliver(from, lost(forward, true));
        }
    }

    private static Event lost(Action.Forward forward, boolean sent) {
        return new Event.ForwardLost(forward.forwardId(), sent);
    }

    private void start(FakeVm vm, Action.Start start) {
        if (chance(3)) {
            end(vm, start, new Outcome.NotRun(RefusalCause.BUSY, "busy"));
            return;
        }
        String task = start.submission().id().text() + "/" + start.task().index();
        int count = mStarts.merge(task, 1, Integer::sum);
        if (count > 1) {
            mViolations.add("started twice: " + task + " by " + vm.mMember + " at " + mNowMs);
        }
        Outcome outcome =
                chance(2)
                        ? new Outcome.Lost("gone")
                        : new Outcome.Succeeded("result of " + task, 100, Resources.NONE);
        end(vm, start, outcome);
    }

    private void end(FakeVm vm, Action.Start start, Outcome outcome) {
        at(50 + random(400), () -> deliver(vm, new Event.AttemptEnded(start.attempt(), outcome)));
    }

    private void reply(FakeVm vm, Action.Reply reply) {
        if (reply.caller() instanceof CallerRef.PeerCaller peer) {
            FakeVm requester = mLinks.get(peer.link());
            if (!cut(vm, requester.mMember.address())) {
                Event event = new Event.ForwardAnswered(peer.forwardId(), reply.answer());
                at(1 + random(3), () -> deliver(requester, event));
            }
        } else if (reply.caller() instanceof CallerRef.HttpCaller caller) {
            answered(caller.token(), reply);
        }
    }

    private void answered(long token, Action.Reply reply) {
        String id = mOpenCallers.remove(token);
        if (!reply.id().text().equals(id)) {
            mViolations.add("answer of " + reply.id().text() + " to a caller of " + id);
            return;
        }
        if (reply.answer() instanceof Answer.Complete complete) {
            checkComplete(id, complete);
        } else if (reply.answer() instanceof Answer.Failed failed) {
            mFailed.merge(failed.kind(), 1, Integer::sum);
        }
    }

    private void checkComplete(String id, Answer.Complete complete) {
        mComplete++;
        for (int i = 0; i < TASKS; i++) {
            String expected = "result of " + id + "/" + i;
            if (complete.results().size() != TASKS || !complete.results().get(i).equals(expected)) {
                mViolations.add("not whole: " + complete.results() + " for " + id);
            }
        }
    }

    /** Checks that nothing of a submission has been started when it is answered as not run. */
    private void checkRefusals(Event event, List<Action> actions) {
        if (event instanceof Event.ForwardAnswered) {
            return;
        }
        for (Action action : actions) {
            boolean notRun =
                    action instanceof Action.Reply reply
                            && reply.answer() instanceof Answer.Failed failed
                            && failed.kind().nothingRan();
            if (notRun) {
                Action.Reply reply = (Action.Reply) action;
                checkNotRun(reply.id().text(), (Answer.Failed) reply.answer());
            }
        }
    }

    private void checkNotRun(String id, Answer.Failed failed) {
        for (int i = 0; i < TASKS; i++) {
            if (mStarts.containsKey(id + "/" + i)) {
                mViolations.add("said " + failed + " though " + id + "/" + i + " was started");
            }
        }
    }

    private void submitAll() {
        for (int job = 0; job < JOBS; job++) {
            long delayMs = random(LENGTH_MS - 15_000);
            String text = "job" + job;
            at(delayMs, () -> submitCopies(text, mNowMs));
        }
    }

    private void submitCopies(String text, long createdMs) {
        int copies = 1 + mRandom.nextInt(5);
        for (int copy = 0; copy < copies; copy++) {
            long delayMs = chance(40) ? random(5) : random(12_000);
            at(delayMs, () -> submit(text, createdMs));
        }
    }

    private void submit(String text, long createdMs) {
        FakeVm vm = randomVm();
        SubmissionId id = new SubmissionId(text, createdMs, Optional.empty(), Optional.empty());
        List<TaskSpec> tasks = new ArrayList<>();
        for (int i = 0; i < TASKS; i++) {
            tasks.add(new TaskSpec(i, new Resources(100, 10, 0), 100, ""));
        }
        Submission submission =
                new Submission(
                        id,
                        "team",
                        "kind",
                        Optional.empty(),
                        false,
                        mNowMs + DEADLINE_MS,
                        tasks,
                        7);
        long token = mNextCaller++;
        mOpenCallers.put(token, text);
        CallerRef caller = new CallerRef.HttpCaller(token);
        deliver(vm, new Event.Submitted(caller, submission, false, 0));
    }

    private void scheduleFailures() {
        int failures = mRandom.nextInt(9);
        for (int i = 0; i < failures; i++) {
            at(random(LENGTH_MS - 12_000), this::injectFailure);
        }
    }

    private void injectFailure() {
        int kind = mRandom.nextInt(mListUnreliable ? 10 : 6);
        switch (kind) {
            case 0 -> replace(randomVm());
            case 1 -> pause(randomVm());
            case 2 -> cutPair(randomVm(), randomVm());
            case 3 -> cutLog(List.of(randomVm()), 2_000 + random(15_000));
            case 4 -> cutLog(new ArrayList<>(mVms.values()), 2_000 + random(25_000));
            case 5 -> cutLog(new ArrayList<>(mVms.values()), 40_000);
            case 6 -> omit(List.of(randomVm()), 6_000 + random(20_000));
            case 7 -> omitAndCut(randomVm(), randomVm());
            case 8 -> isolate(mRandom.nextInt(mDomains));
            default -> replaceAll(mRandom.nextInt(mDomains));
        }
    }

    /** Leaves VMs out of the lists of most other VMs for a while. */
    private void omit(List<FakeVm> vms, long lengthMs) {
        for (FakeVm vm : vms) {
            for (FakeVm reader : mVms.values()) {
                if (reader != vm && chance(80)) {
                    String readerAddress = reader.mMember.address();
                    String address = vm.mMember.address();
                    mList.omit(readerAddress, address);
                    at(lengthMs, () -> mList.restore(readerAddress, address));
                }
            }
        }
    }

    private void omitAndCut(FakeVm vm, FakeVm other) {
        omit(List.of(vm), 6_000 + random(20_000));
        cutPair(vm, other);
    }

    private List<FakeVm> vmsOf(int domain) {
        return mVms.values().stream()
                .filter(vm -> vm.mDomain == domain && vm.mAlive)
                .sorted(Comparator.comparing(vm -> vm.mMember.address()))
                .toList();
    }

    /**
     * Cuts the VMs of a failure domain off from the log and from all other VMs, and then leaves
     * them out of the list, while another VM starts in that domain.
     */
    private void isolate(int domain) {
        List<FakeVm> isolated = vmsOf(domain);
        startVm("vm" + domain + "x" + mSequence + ":1", domain);
        long lengthMs = 10_000 + random(25_000);
        cutLog(isolated, lengthMs);
        for (FakeVm vm : isolated) {
            for (FakeVm other : mVms.values()) {
                if (!isolated.contains(other)) {
                    cutPairFor(vm, other, lengthMs);
                }
            }
        }
        at(LIST_LAG_MS, () -> omit(isolated, lengthMs));
    }

    /** Ends all VMs of a failure domain for good and starts others at other addresses. */
    private void replaceAll(int domain) {
        List<FakeVm> ended = vmsOf(domain);
        startVm("vm" + domain + "y" + mSequence + ":1", domain);
        ended.forEach(vm -> vm.mAlive = false);
        at(LIST_LAG_MS, () -> omit(ended, LENGTH_MS));
    }

    /** Kills the VM's process and starts a new one at the same address later. */
    private void replace(FakeVm vm) {
        vm.mAlive = false;
        at(random(4_000), () -> startVm(vm.mMember.address(), vm.mDomain));
    }

    private void pause(FakeVm vm) {
        if (vm.mPaused) {
            return;
        }
        vm.mPaused = true;
        at(200 + random(chance(30) ? 40_000 : 6_000), () -> resume(vm));
    }

    private void resume(FakeVm vm) {
        vm.mPaused = false;
        List<Runnable> deferred = new ArrayList<>(vm.mDeferred);
        vm.mDeferred.clear();
        if (vm.mAlive) {
            deferred.forEach(Runnable::run);
        }
    }

    private void cutPair(FakeVm one, FakeVm other) {
        cutPairFor(one, other, 1_000 + random(20_000));
    }

    private void cutPairFor(FakeVm one, FakeVm other, long lengthMs) {
        String pair = one.mMember.address() + other.mMember.address();
        mCutPairs.add(pair);
        at(lengthMs, () -> mCutPairs.remove(pair));
    }

    private void cutLog(List<FakeVm> vms, long lengthMs) {
        for (FakeVm vm : vms) {
            String address = vm.mMember.address();
            if (mCutFromLog.add(address)) {
                at(lengthMs, () -> mCutFromLog.remove(address));
            }
        }
    }
}
