package org.boragegap.core.placement;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.boragegap.core.job.Need;
import org.boragegap.core.job.Outcome;

/** Finds room for a task: on this VM's own targets first, then on what siblings lend. */
public final class Placer {

    /**
     * Room for one task.
     *
     * @param target where
     * @param service service of the target
     * @param need what is accounted for
     * @param slot the borrowed slot; empty when the target is this VM's own
     */
    public record Place(
            TargetState target, String service, Need need, Optional<Borrower.Slot> slot) {}

    private final TargetPool mTargets;
    private final Lender mLender;
    private final Borrower mBorrower = Borrower.create();
    private final Map<String, Need> mUnplaced = new HashMap<>();

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

    /** To be called before a round of placements. */
    public void beginRound() {
        mUnplaced.clear();
    }

    /** Takes room for a task, if there is any. */
    public Optional<Place> place(String service, Need need, Set<String> avoid, long nowMs) {
        Optional<TargetState> own = mTargets.place(service, need, avoid, nowMs);
        if (own.isPresent()) {
            mTargets.onStarted(own.get(), need);
            return own.map(target -> new Place(target, service, need, Optional.empty()));
        }
        Optional<Place> borrowed = borrowed(service, need, avoid, nowMs);
        if (borrowed.isEmpty()) {
            mUnplaced.putIfAbsent(service, need);
        }
        return borrowed;
    }

    private Optional<Place> borrowed(String service, Need need, Set<String> avoid, long nowMs) {
        Optional<Borrower.Slot> slot = mBorrower.take(service, need, avoid, nowMs);
        if (slot.isEmpty()) {
            return Optional.empty();
        }
        Optional<TargetState> target = mTargets.find(slot.get().target());
        if (target.isEmpty() || target.get().leaving()) {
            mBorrower.free(service, slot.get(), true);
            return Optional.empty();
        }
        return Optional.of(new Place(target.get(), service, need, slot));
    }

    /** Takes the end of an attempt. */
    public void onEnded(Place place, Outcome outcome, long nowMs) {
        mTargets.noteLeaving(place.target(), outcome);
        if (place.slot().isPresent()) {
            boolean blamed = TargetPool.blames(outcome);
            mBorrower.free(place.service(), place.slot().get(), blamed);
        } else {
            mTargets.onEnded(place.target(), place.need(), outcome, nowMs);
        }
    }

    /** To be called after a round: asks for what is missing, of siblings and of borrowers. */
    public void endRound(
            Set<String> siblings, Map<String, Integer> queued, long nowMs, List<LoanAction> out) {
        for (Map.Entry<String, Need> entry : mUnplaced.entrySet()) {
            int count = queued.getOrDefault(entry.getKey(), 0);
            if (count > 0 && !siblings.isEmpty()) {
                mBorrower.ask(siblings, entry.getKey(), entry.getValue(), count, nowMs, out);
            }
        }
        mBorrower.giveBackUnusable(nowMs, out);
        Map<String, Integer> waiting = new HashMap<>(queued);
        waiting.keySet().retainAll(mUnplaced.keySet());
        mLender.recall(waiting, nowMs, out);
    }

    /** Takes a sibling's message. */
    public void onMessage(String from, LoanMessage message, long nowMs, List<LoanAction> out) {
        if (message instanceof LoanMessage.Ask ask) {
            mLender.onAsk(from, ask, mUnplaced.keySet(), nowMs, out);
        } else if (message instanceof LoanMessage.Given given) {
            mBorrower.onGiven(from, given, nowMs);
        } else if (message instanceof LoanMessage.Recall recall) {
            mBorrower.onRecall(from, recall);
        } else if (message instanceof LoanMessage.Back back) {
            mLender.onBack(from, back, nowMs);
        }
    }

    /** Gives back what is not needed, serves asks that stand, and ends loans that are over. */
    public void onTick(Set<String> siblings, long nowMs, List<LoanAction> out) {
        mBorrower.giveBack(mUnplaced.keySet(), nowMs, out);
        mLender.onTick(siblings, mUnplaced.keySet(), nowMs, out);
    }

    /** Tasks at once that are lent to siblings now. */
    public int lent() {
        return mLender.lent();
    }

    /** Borrowed slots that are free now. */
    public int borrowedFree() {
        return mBorrower.free();
    }
}
