package org.boragegap.core.cell;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.boragegap.core.ClockReading;
import org.boragegap.core.loan.LenderDirectory;

/** A controller with scripted operators, targets and callers, at times that the test sets. */
final class ScriptedCell {
    private static final long BUDGET_MS = 1_500;
    private static final long LEASE_MS = 1_000;

    private long mGroupLeaseMs = LEASE_MS;
    private final CellController mController = CellController.create(new CellSettings(LEASE_MS, 2));
    private final List<CellAction> mActions = new ArrayList<>();
    private long mNextOfferNumber = 1;
    private long mLastConfirmedMs = Long.MAX_VALUE;

    /**
     * Creates a target for tasks of 1,000 thousandths of a core; {@code cpuMillis} is its capacity.
     */
    static TargetInfo target(String id, String address, String domain, int cpuMillis) {
        return new TargetInfo(
                id, address, "service", domain, cpuMillis, 100, 0, Set.of(), false, false);
    }

    /** The same target, draining. */
    static TargetInfo leaving(TargetInfo info) {
        return new TargetInfo(
                info.id(),
                info.address(),
                info.service(),
                info.failureDomain(),
                info.cpuMillis(),
                info.memoryMb(),
                info.accelerators(),
                info.labels(),
                info.enforcesCapacity(),
                true);
    }

    /** Makes this one of two cells that lend targets to each other, from the next term on. */
    void lendAndBorrow(int cell, LenderDirectory directory) {
        mController.partOf(CellLayout.ofCells(2), cell);
        mController.lendAndBorrow(directory);
    }

    CellController controller() {
        return mController;
    }

    /** Sets the lease of the group, for which each confirmation is valid. */
    void groupLeaseMs(long leaseMs) {
        mGroupLeaseMs = leaseMs;
        mController.groupLeaseMs(leaseMs);
    }

    /** No later event finds the term confirmed after this time; by default each one does. */
    void lastConfirmed(long ms) {
        mLastConfirmedMs = ms;
    }

    void on(long ms, CellEvent event) {
        mController.exclusiveUntil(Math.min(ms, mLastConfirmedMs) + mGroupLeaseMs);
        mController.on(event, new ClockReading(ms, ms), mActions);
    }

    /** Handles an event after a pause in which the VM has lost its claim to the cell unnoticed. */
    void onAfterPause(long ms, CellEvent event) {
        mController.exclusiveUntil(ms);
        mController.on(event, new ClockReading(ms, ms), mActions);
    }

    void evacuate(long ms, String... domains) {
        on(ms, new CellEvent.DomainsEvacuated(Set.of(domains)));
    }

    /**
     * Begins a term. The given targets of the previous term are listed, and report that nothing
     * runs there.
     */
    void begin(long ms, long fence, TargetInfo... targets) {
        on(ms, new CellEvent.TermBegan(fence, Optional.of(List.of(targets))));
        for (TargetInfo target : targets) {
            report(ms, target.id(), List.of(), List.of());
        }
        listed(ms, targets);
        on(ms, new CellEvent.PredecessorsKnown());
    }

    void listed(long ms, TargetInfo... targets) {
        on(ms, new CellEvent.TargetsListed(List.of(targets)));
    }

    void ticks(long fromMs, long untilMs) {
        for (long ms = fromMs; ms <= untilMs; ms += 10) {
            on(ms, new CellEvent.Ticked());
        }
    }

    /** The target answers its last lease call. */
    void report(
            long ms,
            String target,
            List<TargetReport.ActiveRun> running,
            List<TargetReport.EndedRun> ended) {
        TargetReport report = new TargetReport(ms, running, ended);
        on(ms, new CellEvent.LeaseExtended(target, lastCall(target), report));
    }

    /** Another incarnation at the target's address answers the last lease call. */
    void answerAsReplacement(long ms, String target) {
        OrderResult cause = OrderResult.OTHER_INCARNATION;
        on(ms, new CellEvent.LeaseFailed(target, lastCall(target), cause));
    }

    /** The target refuses connections: its last lease call could not be sent. */
    void refused(long ms, String target) {
        on(ms, new CellEvent.LeaseFailed(target, lastCall(target), OrderResult.NOT_SENT));
    }

    private long lastCall(String target) {
        return actions(CellAction.ExtendLease.class).stream()
                .filter(call -> call.target().id().equals(target))
                .mapToLong(CellAction.ExtendLease::call)
                .reduce((earlier, later) -> later)
                .orElseThrow();
    }

    /**
     * Offers a job with tasks of 1,000 thousandths of a core each. The job fails with its first
     * failed run.
     */
    void offer(long ms, String job, int tasks) {
        offer(ms, job, StepRequest.cpuOnly(tasks, 1_000, 100));
    }

    void offer(long ms, String job, StepRequest... steps) {
        on(ms, offerOf(job, steps));
    }

    /** The offer of a job with tasks of 1,000 thousandths of a core each. */
    CellEvent.Offered offerOf(String job, int tasks) {
        return offerOf(job, StepRequest.cpuOnly(tasks, 1_000, 100));
    }

    CellEvent.Offered offerOf(String job, StepRequest... steps) {
        JobRequest request =
                new JobRequest(job, "queue", "service", 0, 1, 1.6, 600, "", List.of(steps), 1);
        return new CellEvent.Offered("vm1", request, 0, BUDGET_MS, 1, mNextOfferNumber++);
    }

    /** The target confirms a start. */
    void acceptStart(long ms, CellAction.StartRun start) {
        answer(ms, start, OrderResult.DONE);
    }

    /** A start gets no answer. */
    void unanswered(long ms, CellAction.StartRun start) {
        answer(ms, start, OrderResult.UNKNOWN);
    }

    void answer(long ms, CellAction.StartRun start, OrderResult result) {
        on(
                ms,
                new CellEvent.StartAnswered(
                        start.target().id(), start.task(), start.run(), start.term(), result));
    }

    <T extends CellAction> List<T> actions(Class<T> kind) {
        return mActions.stream().filter(kind::isInstance).map(kind::cast).toList();
    }

    List<CellAction.StartRun> starts() {
        return actions(CellAction.StartRun.class);
    }

    /** Ids of the targets of all start orders, in order. */
    List<String> startedOn() {
        return starts().stream().map(start -> start.target().id()).toList();
    }

    List<Verdict> verdicts() {
        return actions(CellAction.Answer.class).stream().map(CellAction.Answer::verdict).toList();
    }

    void clearActions() {
        mActions.removeIf(action -> !(action instanceof CellAction.ExtendLease));
    }
}
