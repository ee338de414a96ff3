package org.boragegap.core.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.boragegap.core.job.Need;

/**
 * Borrows room on the siblings' targets when this VM's own are full.
 *
 * <p>Room is given back as soon as nothing waits for it. A sibling that had nothing to give is
 * asked again after a growing pause, so that a full failure domain costs few messages.
 */
public final class Borrower {
    private static final long FIRST_PAUSE_MS = 25;
    private static final long LONGEST_PAUSE_MS = 400;
    private static final long ANSWER_WITHIN_MS = 500;
    private static final int MOST_ASKED = 512;

    /** Room for one task at a time on a sibling's target. */
    public static final class Slot {
        private final String mOwner;
        private final LoanMessage.Line mLine;
        private final long mUsableUntilMs;
        private boolean mBlamed;

        private Slot(String owner, LoanMessage.Line line, long usableUntilMs) {
            mOwner = owner;
            mLine = line;
            mUsableUntilMs = usableUntilMs;
        }

        /** Address of the target. */
        public String target() {
            return mLine.target();
        }
    }

    private static final class Asking {
        private long mAskedMs = Long.MIN_VALUE / 2;
        private long mPauseMs;
        private boolean mAnswerDue;
    }

    private record BackKey(String owner, long loanId) {}

    private final Map<String, Asking> mAskings = new HashMap<>();
    private final Map<String, List<Slot>> mFree = new HashMap<>();

    private Borrower() {}

    /** Makes a borrower that has nothing. */
    public static Borrower create() {
        return new Borrower();
    }

    /** Asks siblings for room for tasks that wait. */
    public void ask(
            Set<String> siblings,
            String service,
            Need need,
            int count,
            long nowMs,
            List<LoanAction> out) {
        for (String sibling : siblings) {
            Asking asking = mAskings.computeIfAbsent(sibling + "|" + service, key -> new Asking());
            long sinceMs = nowMs - asking.mAskedMs;
            boolean wait =
                    asking.mAnswerDue ? sinceMs < ANSWER_WITHIN_MS : sinceMs < asking.mPauseMs;
            if (wait) {
                continue;
            }
            asking.mAskedMs = nowMs;
            asking.mAnswerDue = true;
            int share = Math.min(MOST_ASKED, (count + siblings.size() - 1) / siblings.size());
            out.add(new LoanAction(sibling, new LoanMessage.Ask(service, need, share)));
        }
    }

    /** Takes what a sibling gives. */
    public void onGiven(String owner, LoanMessage.Given given) {
        Asking asking =
                mAskings.computeIfAbsent(owner + "|" + given.service(), key -> new Asking());
        asking.mAnswerDue = false;
        if (given.lines().isEmpty()) {
            long grown = Math.max(FIRST_PAUSE_MS, asking.mPauseMs * 2);
            asking.mPauseMs = Math.min(LONGEST_PAUSE_MS, grown);
            return;
        }
        asking.mPauseMs = 0;
        List<Slot> free = mFree.computeIfAbsent(given.service(), service -> new ArrayList<>());
        for (LoanMessage.Line line : given.lines()) {
            long usableUntilMs = asking.mAskedMs + line.termMs();
            for (int i = 0; i < line.count(); i++) {
                free.add(new Slot(owner, line, usableUntilMs));
            }
        }
    }

    /** Takes a borrowed slot for a task, if one fits. */
    public Optional<Slot> take(String service, Need need, Set<String> avoid, long nowMs) {
        List<Slot> free = mFree.getOrDefault(service, List.of());
        for (int i = free.size() - 1; i >= 0; i--) {
            Slot slot = free.get(i);
            boolean fits = need.fits(slot.mLine.need()) && nowMs < slot.mUsableUntilMs;
            if (fits && !avoid.contains(slot.target())) {
                free.remove(i);
                return Optional.of(slot);
            }
        }
        return Optional.empty();
    }

    /** The task on a slot ended; a slot on a target that failed it is not used again. */
    public void free(String service, Slot slot, boolean blamed) {
        slot.mBlamed |= blamed;
        mFree.computeIfAbsent(service, name -> new ArrayList<>()).add(slot);
    }

    /** Gives back what nothing waits for, or what must not be used any more. */
    public void giveBack(Set<String> servicesWithWork, long nowMs, List<LoanAction> out) {
        Map<BackKey, int[]> backs = new HashMap<>();
        for (Map.Entry<String, List<Slot>> entry : mFree.entrySet()) {
            boolean work = servicesWithWork.contains(entry.getKey());
            for (Iterator<Slot> slots = entry.getValue().iterator(); slots.hasNext(); ) {
                Slot slot = slots.next();
                if (work && !slot.mBlamed && nowMs < slot.mUsableUntilMs) {
                    continue;
                }
                slots.remove();
                BackKey key = new BackKey(slot.mOwner, slot.mLine.loanId());
                int[] counts = backs.computeIfAbsent(key, loan -> new int[2]);
                counts[0]++;
                counts[1] += slot.mBlamed ? 1 : 0;
            }
        }
        backs.forEach(
                (key, counts) -> {
                    LoanMessage back = new LoanMessage.Back(key.loanId(), counts[0], counts[1]);
                    out.add(new LoanAction(key.owner(), back));
                });
    }

    /** Slots that are borrowed and free now. */
    public int free() {
        return mFree.values().stream().mapToInt(List::size).sum();
    }
}
