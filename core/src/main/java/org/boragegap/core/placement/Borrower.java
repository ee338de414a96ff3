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
 * <p>An ask stands with the sibling for a while, so it is repeated only when that is over or when
 * it was served whole. Room that nothing waits for is given back, in batches.
 */
public final class Borrower {
    private static final long ASK_AGAIN_MS = 450;
    private static final long ASK_PAUSE_MS = 50;
    private static final int MOST_ASKED = 512;

    /** Room for one task at a time on a sibling's target. */
    public static final class Slot {
        private final String mOwner;
        private final LoanMessage.Line mLine;
        private final long mUsableUntilMs;
        private boolean mBlamed;
        private boolean mRecalled;

        private Slot(String owner, LoanMessage.Line line, long usableUntilMs) {
            mOwner = owner;
            mLine = line;
            mUsableUntilMs = usableUntilMs;
        }

        /** Address of the target. */
        public String target() {
            return mLine.target();
        }

        private boolean usable(long nowMs) {
            return !mBlamed && !mRecalled && nowMs < mUsableUntilMs;
        }
    }

    private static final class Asking {
        private long mAskedMs = Long.MIN_VALUE / 2;
        private int mMissing;
    }

    private record AskKey(String owner, String service) {}

    private record BackKey(String owner, long loanId) {}

    private final Map<AskKey, Asking> mAskings = new HashMap<>();
    private final Map<String, List<Slot>> mFree = new HashMap<>();
    private final Map<AskKey, Integer> mRecalled = new HashMap<>();

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
            Asking asking =
                    mAskings.computeIfAbsent(new AskKey(sibling, service), key -> new Asking());
            long sinceMs = nowMs - asking.mAskedMs;
            boolean stands = asking.mMissing > 0 && sinceMs < ASK_AGAIN_MS;
            if (stands || sinceMs < ASK_PAUSE_MS) {
                continue;
            }
            int share = Math.min(MOST_ASKED, (count + siblings.size() - 1) / siblings.size());
            asking.mAskedMs = nowMs;
            asking.mMissing = share;
            out.add(new LoanAction(sibling, new LoanMessage.Ask(service, need, share)));
        }
    }

    /** Takes what a sibling gives. */
    public void onGiven(String owner, LoanMessage.Given given, long nowMs) {
        Asking asking = mAskings.get(new AskKey(owner, given.service()));
        if (asking == null) {
            return;
        }
        List<Slot> free = mFree.computeIfAbsent(given.service(), service -> new ArrayList<>());
        for (LoanMessage.Line line : given.lines()) {
            asking.mMissing -= line.count();
            // The term began when the sibling gave; it gave no earlier than it was asked.
            long usableUntilMs = Math.min(nowMs, asking.mAskedMs) + line.termMs();
            for (int i = 0; i < line.count(); i++) {
                free.add(new Slot(owner, line, usableUntilMs));
            }
        }
    }

    /** A sibling wants room back: what is free now, and what gets free next. */
    public void onRecall(String owner, LoanMessage.Recall recall) {
        mRecalled.put(new AskKey(owner, recall.service()), recall.count());
        for (Slot slot : mFree.getOrDefault(recall.service(), List.of())) {
            heedRecall(recall.service(), slot);
        }
    }

    private void heedRecall(String service, Slot slot) {
        AskKey key = new AskKey(slot.mOwner, service);
        int left = mRecalled.getOrDefault(key, 0);
        if (left > 0 && !slot.mRecalled) {
            slot.mRecalled = true;
            mRecalled.put(key, left - 1);
        }
    }

    /** Takes a borrowed slot for a task, if one fits. */
    public Optional<Slot> take(String service, Need need, Set<String> avoid, long nowMs) {
        List<Slot> free = mFree.getOrDefault(service, List.of());
        for (int i = free.size() - 1; i >= 0; i--) {
            Slot slot = free.get(i);
            boolean fits = need.fits(slot.mLine.need()) && slot.usable(nowMs);
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
        heedRecall(service, slot);
        mFree.computeIfAbsent(service, name -> new ArrayList<>()).add(slot);
    }

    /** Gives back what must not be used any more. */
    public void giveBackUnusable(long nowMs, List<LoanAction> out) {
        giveBack(mFree.keySet(), nowMs, out);
    }

    /** Gives back what nothing waits for, or what must not be used any more. */
    public void giveBack(Set<String> servicesWithWork, long nowMs, List<LoanAction> out) {
        Map<BackKey, int[]> backs = new HashMap<>();
        for (Map.Entry<String, List<Slot>> entry : mFree.entrySet()) {
            boolean work = servicesWithWork.contains(entry.getKey());
            for (Iterator<Slot> slots = entry.getValue().iterator(); slots.hasNext(); ) {
                Slot slot = slots.next();
                if (work && slot.usable(nowMs)) {
                    continue;
                }
                slots.remove();
                BackKey key = new BackKey(slot.mOwner, slot.mLine.loanId());
                int[] counts = backs.computeIfAbsent(key, loan -> new int[2]);
                counts[0]++;
                counts[1] += slot.mBlamed ? 1 : 0;
            }
        }
        sendBacks(backs, out);
    }

    private static void sendBacks(Map<BackKey, int[]> backs, List<LoanAction> out) {
        Map<String, List<LoanMessage.Return>> byOwner = new HashMap<>();
        backs.forEach(
                (key, counts) ->
                        byOwner.computeIfAbsent(key.owner(), owner -> new ArrayList<>())
                                .add(new LoanMessage.Return(key.loanId(), counts[0], counts[1])));
        byOwner.forEach(
                (owner, returns) -> out.add(new LoanAction(owner, new LoanMessage.Back(returns))));
    }

    /** Slots that are borrowed and free now. */
    public int free() {
        return mFree.values().stream().mapToInt(List::size).sum();
    }
}
