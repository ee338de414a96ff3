package org.boragegap.core.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.boragegap.core.job.Resources;
import org.boragegap.core.loan.LoanTerm;
import org.boragegap.core.loan.RequestPacing;

/**
 * Borrows slots on the targets of sibling entry VMs when this VM's own targets are full.
 *
 * <p>A sibling keeps a loan request pending for a while, so a request is repeated only when that
 * time is over or when all requested slots were granted. Slots that no task waits for are returned,
 * in batches.
 */
public final class Borrower {
    private static final long REPEAT_REQUEST_MS = 450;
    private static final long MIN_REQUEST_INTERVAL_MS = 50;
    private static final int MAX_REQUESTED_SLOTS = 512;

    /** Capacity for one task at a time on a sibling's target. */
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

    private record OwnerAndService(String owner, String service) {}

    private record LoanKey(String owner, long loanId) {}

    private final Map<OwnerAndService, RequestPacing> mSentRequests = new HashMap<>();
    private final Map<String, List<BorrowedSlot>> mFreeSlots = new HashMap<>();
    private final Map<OwnerAndService, Integer> mRecallCounts = new HashMap<>();

    private Borrower() {}

    /** Makes a borrower that has no slots. */
    public static Borrower create() {
        return new Borrower();
    }

    /** Requests slots from the siblings for tasks that wait, an equal share from each. */
    public void requestSlots(
            Set<String> siblings,
            String service,
            Resources need,
            int count,
            long nowMs,
            List<LoanAction> out) {
        for (String sibling : siblings) {
            RequestPacing request =
                    mSentRequests.computeIfAbsent(
                            new OwnerAndService(sibling, service),
                            key ->
                                    RequestPacing.create(
                                            MIN_REQUEST_INTERVAL_MS, REPEAT_REQUEST_MS));
            if (!request.isDue(nowMs)) {
                continue;
            }
            int slotsPerSibling =
                    Math.min(MAX_REQUESTED_SLOTS, (count + siblings.size() - 1) / siblings.size());
            request.sent(nowMs, slotsPerSibling);
            out.add(new LoanAction(sibling, new LoanMessage.Ask(service, need, slotsPerSibling)));
        }
    }

    /** Adds the slots that a sibling has granted. */
    public void onGiven(String owner, LoanMessage.Given given, long nowMs) {
        RequestPacing request = mSentRequests.get(new OwnerAndService(owner, given.service()));
        if (request == null) {
            return;
        }
        List<BorrowedSlot> free =
                mFreeSlots.computeIfAbsent(given.service(), service -> new ArrayList<>());
        for (LoanMessage.Line line : given.lines()) {
            request.granted(line.count());
            long usableUntilMs = LoanTerm.borrowerEndMs(request.sentMs(), nowMs, line.termMs());
            for (int i = 0; i < line.count(); i++) {
                free.add(new BorrowedSlot(owner, line, usableUntilMs));
            }
        }
    }

    /** A sibling recalls slots: those that are free now, and then those that become free next. */
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

    /** Takes a free borrowed slot that fits the task, if there is one. */
    public Optional<BorrowedSlot> takeSlot(
            String service, Resources need, Set<String> excluded, long nowMs) {
        List<BorrowedSlot> free = mFreeSlots.getOrDefault(service, List.of());
        for (int i = free.size() - 1; i >= 0; i--) {
            BorrowedSlot slot = free.get(i);
            boolean fits = need.fitsInto(slot.mLine.need()) && slot.usable(nowMs);
            if (fits && !excluded.contains(slot.target())) {
                free.remove(i);
                return Optional.of(slot);
            }
        }
        return Optional.empty();
    }

    /**
     * Frees a slot whose task has ended; if the target was at fault, the slot is not used again.
     */
    public void releaseSlot(String service, BorrowedSlot slot, boolean targetAtFault) {
        slot.mTargetAtFault |= targetAtFault;
        applyRecall(service, slot);
        mFreeSlots.computeIfAbsent(service, name -> new ArrayList<>()).add(slot);
    }

    /** Returns slots that must not be used any more. */
    public void returnUnusable(long nowMs, List<LoanAction> out) {
        returnUnneeded(mFreeSlots.keySet(), nowMs, out);
    }

    /** Returns slots that no task waits for, and those that must not be used any more. */
    public void returnUnneeded(Set<String> waitingServices, long nowMs, List<LoanAction> out) {
        Map<LoanKey, int[]> returnCounts = new HashMap<>();
        for (Map.Entry<String, List<BorrowedSlot>> entry : mFreeSlots.entrySet()) {
            boolean needed = waitingServices.contains(entry.getKey());
            for (Iterator<BorrowedSlot> slots = entry.getValue().iterator(); slots.hasNext(); ) {
                BorrowedSlot slot = slots.next();
                if (needed && slot.usable(nowMs)) {
                    continue;
                }
                slots.remove();
                LoanKey key = new LoanKey(slot.mOwner, slot.mLine.loanId());
                int[] counts = returnCounts.computeIfAbsent(key, loan -> new int[2]);
                counts[0]++;
                counts[1] += slot.mTargetAtFault ? 1 : 0;
            }
        }
        sendReturns(returnCounts, out);
    }

    private static void sendReturns(Map<LoanKey, int[]> returnCounts, List<LoanAction> out) {
        Map<String, List<LoanMessage.Return>> byOwner = new HashMap<>();
        returnCounts.forEach(
                (key, counts) ->
                        byOwner.computeIfAbsent(key.owner(), owner -> new ArrayList<>())
                                .add(new LoanMessage.Return(key.loanId(), counts[0], counts[1])));
        byOwner.forEach(
                (owner, returns) -> out.add(new LoanAction(owner, new LoanMessage.Back(returns))));
    }

    /** Number of borrowed slots that are free now. */
    public int freeSlots() {
        return mFreeSlots.values().stream().mapToInt(List::size).sum();
    }
}
