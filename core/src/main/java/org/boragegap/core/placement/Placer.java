package org.boragegap.core.placement;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.boragegap.core.job.Outcome;
import org.boragegap.core.job.Resources;

/** Allocates capacity for tasks: on this VM's own targets first, then on slots lent by siblings. */
public final class Placer {

    /**
     * Capacity allocated to one task.
     *
     * @param target the target
     * @param service service of the target
     * @param need resources accounted for
     * @param slot the borrowed slot; empty when the target is this VM's own
     */
    public record Allocation(
            TargetState target,
            String service,
            Resources need,
            Optional<Borrower.BorrowedSlot> slot) {}

    private final TargetPool mTargets;
    private final Lender mLender;
    private final Borrower mBorrower = Borrower.create();
    private final Map<String, Resources> mUnplacedNeeds = new HashMap<>();

    private Placer(TargetPool targets, long incarnation) {
        mTargets = targets;
        mLender = Lender.create(targets, incarnation);
    }

    /**
     * Makes a placer on a pool of targets.
     *
     * @param incarnation number of this run of the process, larger for later ones at its address
     */
    public static Placer create(TargetPool targets, long incarnation) {
        return new Placer(targets, incarnation);
    }

    /** The targets. */
    public TargetPool targets() {
        return mTargets;
    }

    /** Starts a round of placements; forgets which services lacked capacity in the last one. */
    public void beginRound() {
        mUnplacedNeeds.clear();
    }

    /** Allocates capacity for a task, if there is any. */
    public Optional<Allocation> place(
            String service, Resources need, Set<String> excluded, long nowMs) {
        Optional<TargetState> own = mTargets.choose(service, need, excluded, nowMs);
        if (own.isPresent()) {
            mTargets.onStarted(own.get(), need);
            return own.map(target -> new Allocation(target, service, need, Optional.empty()));
        }
        Optional<Allocation> borrowed = placeOnBorrowed(service, need, excluded, nowMs);
        if (borrowed.isEmpty()) {
            mUnplacedNeeds.putIfAbsent(service, need);
        }
        return borrowed;
    }

    private Optional<Allocation> placeOnBorrowed(
            String service, Resources need, Set<String> excluded, long nowMs) {
        Optional<Borrower.BorrowedSlot> slot = mBorrower.takeSlot(service, need, excluded, nowMs);
        if (slot.isEmpty()) {
            return Optional.empty();
        }
        Optional<TargetState> target = mTargets.find(slot.get().target());
        if (target.isEmpty() || target.get().leaving()) {
            mBorrower.releaseSlot(service, slot.get(), true);
            return Optional.empty();
        }
        return Optional.of(new Allocation(target.get(), service, need, slot));
    }

    /** Releases the capacity of an attempt that has ended. */
    public void onEnded(Allocation allocation, Outcome outcome, long nowMs) {
        mTargets.markIfLeaving(allocation.target(), outcome);
        if (allocation.slot().isPresent()) {
            boolean targetAtFault = TargetPool.targetAtFault(outcome);
            mBorrower.releaseSlot(allocation.service(), allocation.slot().get(), targetAtFault);
        } else {
            mTargets.onEnded(allocation.target(), allocation.need(), outcome, nowMs);
        }
    }

    /**
     * Ends a round of placements. For services that lacked capacity, requests slots from siblings
     * and recalls lent ones; also returns borrowed slots that must not be used any more.
     */
    public void endRound(
            Set<String> siblings, Map<String, Integer> queued, long nowMs, List<LoanAction> out) {
        for (Map.Entry<String, Resources> entry : mUnplacedNeeds.entrySet()) {
            int count = queued.getOrDefault(entry.getKey(), 0);
            if (count > 0 && !siblings.isEmpty()) {
                mBorrower.requestSlots(
                        siblings, entry.getKey(), entry.getValue(), count, nowMs, out);
            }
        }
        mBorrower.returnUnusable(nowMs, out);
        Map<String, Integer> waiting = new HashMap<>(queued);
        waiting.keySet().retainAll(mUnplacedNeeds.keySet());
        mLender.recall(waiting, nowMs, out);
    }

    /** Handles a sibling's message. */
    public void onMessage(String from, LoanMessage message, long nowMs, List<LoanAction> out) {
        if (message instanceof LoanMessage.Ask ask) {
            mLender.onAsk(from, ask, mUnplacedNeeds.keySet(), nowMs, out);
        } else if (message instanceof LoanMessage.Given given) {
            mBorrower.onGiven(from, given, nowMs);
        } else if (message instanceof LoanMessage.Recall recall) {
            mBorrower.onRecall(from, recall);
        } else if (message instanceof LoanMessage.Back back) {
            mLender.onBack(from, back, nowMs);
        }
    }

    /** Returns unneeded slots, ends expired loans, and serves pending loan requests. */
    public void onTick(Set<String> siblings, long nowMs, List<LoanAction> out) {
        mBorrower.returnUnneeded(mUnplacedNeeds.keySet(), nowMs, out);
        mLender.onTick(siblings, mUnplacedNeeds.keySet(), nowMs, out);
    }

    /** Number of slots that are lent to siblings now. */
    public int lentSlots() {
        return mLender.lentSlots();
    }

    /** Number of borrowed slots that are free now. */
    public int freeBorrowedSlots() {
        return mBorrower.freeSlots();
    }
}
