package org.boragegap.core.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.boragegap.core.job.Resources;

/**
 * Lends room on this VM's targets to its siblings.
 *
 * <p>An ask stands for a while and is served when there is room, so that a sibling needn't ask
 * again and again. The owner goes on accounting for what it lent, and recalls it when its own work
 * waits. A borrower that dies gives nothing back, so a loan ends by itself when its term and a
 * margin are over.
 */
public final class Lender {
    private static final long REQUEST_VALID_MS = 500;
    private static final long TERM_MS = 3_000;
    private static final long EXPIRY_MARGIN_MS = 5_000;
    private static final long MIN_RECALL_INTERVAL_MS = 200;

    /** Leaves more numbers for each ms between the starts of two runs than can be lent in it. */
    private static final int INCARNATION_SHIFT = 20;

    private record BorrowerAndService(String borrower, String service) {}

    private static final class PendingRequest {
        private final LoanMessage.Ask mAsk;
        private final long mExpiresMs;
        private int mRemaining;

        private PendingRequest(LoanMessage.Ask ask, long untilMs) {
            mAsk = ask;
            mExpiresMs = untilMs;
            mRemaining = ask.count();
        }
    }

    private static final class Loan {
        private final String mBorrower;
        private final TargetState mTarget;
        private final Resources mNeed;
        private final long mExpiresMs;
        private int mCount;

        private Loan(String borrower, TargetState target, Resources need, long endsMs) {
            mBorrower = borrower;
            mTarget = target;
            mNeed = need;
            mExpiresMs = endsMs;
        }
    }

    private final TargetPool mTargets;
    private final Map<BorrowerAndService, PendingRequest> mPendingRequests = new LinkedHashMap<>();
    private final Map<Long, Loan> mLoans = new LinkedHashMap<>();
    private long mNextLoanId;
    private long mLastRecallMs = Long.MIN_VALUE / 2;

    private Lender(TargetPool targets, long firstLoan) {
        mTargets = targets;
        mNextLoanId = firstLoan;
    }

    /**
     * Makes a lender of the pool's owned targets.
     *
     * @param incarnation number of this run of the process; loans of two runs have different
     *     numbers, since what is given back may belong to an earlier one
     */
    public static Lender create(TargetPool targets, long incarnation) {
        return new Lender(targets, incarnation << INCARNATION_SHIFT);
    }

    /** How much is lent, in tasks at once. */
    public int lentSlots() {
        return mLoans.values().stream().mapToInt(loan -> loan.mCount).sum();
    }

    /** Takes an ask, in place of an earlier one by the same sibling. */
    public void onAsk(
            String borrower,
            LoanMessage.Ask ask,
            Set<String> ownWaits,
            long nowMs,
            List<LoanAction> out) {
        BorrowerAndService key = new BorrowerAndService(borrower, ask.service());
        mPendingRequests.put(key, new PendingRequest(ask, nowMs + REQUEST_VALID_MS));
        servePending(ownWaits, nowMs, out);
    }

    /** Serves the asks that stand, as far as there is room that no own work waits for. */
    private void servePending(Set<String> ownWaits, long nowMs, List<LoanAction> out) {
        Iterator<Map.Entry<BorrowerAndService, PendingRequest>> asks =
                mPendingRequests.entrySet().iterator();
        while (asks.hasNext()) {
            Map.Entry<BorrowerAndService, PendingRequest> entry = asks.next();
            PendingRequest standing = entry.getValue();
            if (nowMs < standing.mExpiresMs && !ownWaits.contains(entry.getKey().service())) {
                grant(entry.getKey().borrower(), standing, nowMs, out);
            }
            if (nowMs >= standing.mExpiresMs || standing.mRemaining == 0) {
                asks.remove();
            }
        }
    }

    private void grant(String borrower, PendingRequest standing, long nowMs, List<LoanAction> out) {
        LoanMessage.Ask ask = standing.mAsk;
        Map<TargetState, Loan> loans = new LinkedHashMap<>();
        while (standing.mRemaining > 0) {
            Optional<TargetState> target =
                    mTargets.choose(ask.service(), ask.need(), Set.of(), nowMs);
            if (target.isEmpty()) {
                break;
            }
            mTargets.onStarted(target.get(), ask.need());
            loans.computeIfAbsent(target.get(), state -> newLoan(borrower, state, ask, nowMs))
                    .mCount++;
            standing.mRemaining--;
        }
        if (!loans.isEmpty()) {
            out.add(new LoanAction(borrower, registerLoans(ask, loans)));
        }
    }

    private static Loan newLoan(
            String borrower, TargetState target, LoanMessage.Ask ask, long nowMs) {
        return new Loan(borrower, target, ask.need(), nowMs + TERM_MS + EXPIRY_MARGIN_MS);
    }

    private LoanMessage.Given registerLoans(LoanMessage.Ask ask, Map<TargetState, Loan> loans) {
        List<LoanMessage.Line> lines = new ArrayList<>();
        for (Loan loan : loans.values()) {
            long id = mNextLoanId++;
            mLoans.put(id, loan);
            String address = loan.mTarget.target().address();
            lines.add(new LoanMessage.Line(id, address, loan.mNeed, loan.mCount, TERM_MS));
        }
        return new LoanMessage.Given(ask.service(), lines);
    }

    /** Takes room back; what comes for a loan that has ended, or of another VM, is ignored. */
    public void onBack(String borrower, LoanMessage.Back back, long nowMs) {
        back.returns().forEach(each -> onReturn(borrower, each, nowMs));
    }

    private void onReturn(String borrower, LoanMessage.Return back, long nowMs) {
        Loan loan = mLoans.get(back.loanId());
        if (loan == null || !loan.mBorrower.equals(borrower)) {
            return;
        }
        int count = Math.min(back.count(), loan.mCount);
        for (int i = 0; i < count; i++) {
            mTargets.onLoanEnded(loan.mTarget, loan.mNeed, i < back.blamed(), nowMs);
        }
        loan.mCount -= count;
        if (loan.mCount == 0) {
            mLoans.remove(back.loanId());
        }
    }

    /** Wants as much room back as own work waits for. */
    public void recall(Map<String, Integer> ownWaiting, long nowMs, List<LoanAction> out) {
        if (nowMs - mLastRecallMs < MIN_RECALL_INTERVAL_MS) {
            return;
        }
        Map<BorrowerAndService, Integer> lent = new LinkedHashMap<>();
        for (Loan loan : mLoans.values()) {
            BorrowerAndService key =
                    new BorrowerAndService(loan.mBorrower, loan.mTarget.target().service());
            lent.merge(key, loan.mCount, Integer::sum);
        }
        Map<String, Integer> wanted = new HashMap<>(ownWaiting);
        lent.forEach(
                (key, count) -> {
                    int back = Math.min(count, wanted.getOrDefault(key.service(), 0));
                    if (back > 0) {
                        wanted.merge(key.service(), -back, Integer::sum);
                        mLastRecallMs = nowMs;
                        LoanMessage recall = new LoanMessage.Recall(key.service(), back);
                        out.add(new LoanAction(key.borrower(), recall));
                    }
                });
    }

    /** Serves asks; ends loans that are over, and those of borrowers that are siblings no more. */
    public void onTick(
            Set<String> siblings, Set<String> ownWaits, long nowMs, List<LoanAction> out) {
        Iterator<Loan> loans = mLoans.values().iterator();
        while (loans.hasNext()) {
            Loan loan = loans.next();
            if (nowMs >= loan.mExpiresMs || !siblings.contains(loan.mBorrower)) {
                for (int i = 0; i < loan.mCount; i++) {
                    mTargets.onLoanEnded(loan.mTarget, loan.mNeed, false, nowMs);
                }
                loans.remove();
            }
        }
        mPendingRequests.keySet().removeIf(key -> !siblings.contains(key.borrower()));
        servePending(ownWaits, nowMs, out);
    }
}
