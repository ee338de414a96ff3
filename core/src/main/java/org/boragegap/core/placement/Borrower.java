package org.boragegap.core.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.boragegap.core.job.Resources;

/**
 * Borrows room on the siblings' targets when this VM's own are full.
 *
 * <p>An ask stands with the sibling for a while, so it is repeated only when that is over or when
 * it was served whole. Room that nothing waits for is given back, in batches.
 */
public final class Borrower {
    private static final long REPEAT_REQUEST_MS = 450;
    private static final long MIN_REQUEST_INTERVAL_MS = 50;
    private static final int MAX_REQUESTED_SLOTS = 512;

    /** Room for one task at a time on a sibling's target. */
    public static final class BorrowedSlot {
        private final String mOwner;
        private final LoanMessage.Line mLine;
        private final long mUsableUntilMs;
        private boolean mTargetAtFault;
        private boolean mRecalled;

        private BorrowedSlot(String owner, LoanMessage.Line line, long usableUntilMs) {
            mOwner = owner;
            mLine = line;
            mUsableUntilMs = usableUntilMs;
        }

        /** Address of the target. */
        public String target() {
            return mLine.target();
        }

        private boolean usable(long nowMs) {
            return !mTargetAtFault && !mRecalled && nowMs < mUsableUntilMs;
        }
    }

    private static final class SentRequest {
        private long mSentMs = Long.MIN_VALUE / 2;
        private int mOutstanding;
    }

    private record OwnerAndService(String owner, String service) {}

    private record LoanKey(String owner, long loanId) {}

    private final Map<OwnerAndService, SentRequest> mSentRequests = new HashMap<>();
    private final Map<String, List<BorrowedSlot>> mFreeSlots = new HashMap<>();
    private final Map<OwnerAndService, Integer> mRecallCounts = new HashMap<>();

    private Borrower() {}

    /** Makes a borrower that has nothing. */
    public static Borrower create() {
        return new Borrower();
    }

    /** Asks siblings for room for tasks that wait. */
    public void requestSlots(
            Set<String> siblings,
            String service,
            Resources need,
            int count,
            long nowMs,
            List<LoanAction> out) {
        for (String sibling : siblings) {
            SentRequest asking =
                    mSentRequests.computeIfAbsent(
                            new OwnerAndService(sibling, service), key -> new SentRequest());
            long sinceMs = nowMs - asking.mSentMs;
            boolean stands = asking.mOutstanding > 0 && sinceMs < REPEAT_REQUEST_MS;
            if (stands || sinceMs < MIN_REQUEST_INTERVAL_MS) {
                continue;
            }
            int share =
                    Math.min(MAX_REQUESTED_SLOTS, (count + siblings.size() - 1) / siblings.size());
            asking.mSentMs = nowMs;
            asking.mOutstanding = share;
            out.add(new LoanAction(sibling, new LoanMessage.Ask(service, need, share)));
        }
    }

    /** Takes what a sibling gives. */
    public void onGiven(String owner, LoanMessage.Given given, long nowMs) {
        SentRequest asking = mSentRequests.get(new OwnerAndService(owner, given.service()));
        if (asking == null) {
            return;
        }
        List<BorrowedSlot> free =
                mFreeSlots.computeIfAbsent(given.service(), service -> new ArrayList<>());
        for (LoanMessage.Line line : given.lines()) {
            asking.mOutstanding -= line.count();
            // The term began when the sibling gave; it gave no earlier than it was asked.
            long usableUntilMs = Math.min(nowMs, asking.mSentMs) + line.termMs();
            for (int i = 0; i < line.count(); i++) {
                free.add(new BorrowedSlot(owner, line, usableUntilMs));
            }
        }
    }

    /** A sibling wants room back: what is free now, and what gets free next. */
    public void onRecall(String owner, LoanMessage.Recall recall) {
        mRecallCounts.put(new OwnerAndService(owner, recall.service()), recall.count());
        for (BorrowedSlot slot : mFreeSlots.getOrDefault(recall.service(), List.of())) {
            applyRecall(recall.service(), slot);
        }
    }

    private void applyRecall(String service, BorrowedSlot slot) {
        OwnerAndService key = new OwnerAndService(slot.mOwner, service);
        int left = mRecallCounts.getOrDefault(key, 0);
        if (left > 0 && !slot.mRecalled) {
            slot.mRecalled = true;
            mRecallCounts.put(key, left - 1);
        }
    }

    /** Takes a borrowed slot for a task, if one fits. */
    public Optional<BorrowedSlot> takeSlot(
            String service, Resources need, Set<String> avoid, long nowMs) {
        List<BorrowedSlot> free = mFreeSlots.getOrDefault(service, List.of());
        for (int i = free.size() - 1; i >= 0; i--) {
            BorrowedSlot slot = free.get(i);
            boolean fits = need.fitsInto(slot.mLine.need()) && slot.usable(nowMs);
            if (fits && !avoid.contains(slot.target())) {
                free.remove(i);
                return Optional.of(slot);
            }
        }
        return Optional.empty();
    }

    /** The task on a slot ended; a slot on a target that failed it is not used again. */
    public void free(String service, BorrowedSlot slot, boolean blamed) {
        slot.mTargetAtFault |= blamed;
        applyRecall(service, slot);
        mFreeSlots.computeIfAbsent(service, name -> new ArrayList<>()).add(slot);
    }

    /** Gives back what must not be used any more. */
    public void returnUnusable(long nowMs, List<LoanAction> out) {
        returnUnneeded(mFreeSlots.keySet(), nowMs, out);
    }

    /** Gives back what nothing waits for, or what must not be used any more. */
    public void returnUnneeded(Set<String> servicesWithWork, long nowMs, List<LoanAction> out) {
        Map<LoanKey, int[]> backs = new HashMap<>();
        for (Map.Entry<String, List<BorrowedSlot>> entry : mFreeSlots.entrySet()) {
            boolean work = servicesWithWork.contains(entry.getKey());
            for (Iterator<BorrowedSlot> slots = entry.getValue().iterator(); slots.hasNext(); ) {
                BorrowedSlot slot = slots.next();
                if (work && slot.usable(nowMs)) {
                    continue;
                }
                slots.remove();
                LoanKey key = new LoanKey(slot.mOwner, slot.mLine.loanId());
                int[] counts = backs.computeIfAbsent(key, loan -> new int[2]);
                counts[0]++;
                counts[1] += slot.mTargetAtFault ? 1 : 0;
            }
        }
        sendReturns(backs, out);
    }

    private static void sendReturns(Map<LoanKey, int[]> backs, List<LoanAction> out) {
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
        return mFreeSlots.values().stream().mapToInt(List::size).sum();
    }
}
