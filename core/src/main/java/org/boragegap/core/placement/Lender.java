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
import org.boragegap.core.loan.LoanTerm;
import org.boragegap.core.loan.RequestPacing;

/**
 * Lends slots on this VM's targets to sibling entry VMs.
 *
 * <p>A loan request stays pending for a while and is served when there is free capacity, so that a
 * sibling needn't repeat it constantly. The owner continues to account for lent slots, and recalls
 * them when tasks of its own wait. A borrower that crashes returns nothing, so a loan expires when
 * its term and a margin are over.
 */
public final class Lender {
    private static final long REQUEST_VALID_MS = 500;
    private static final LoanTerm TERM = new LoanTerm(3_000, 5_000);
    private static final long MIN_RECALL_INTERVAL_MS = 200;

    /**
     * Leaves 2^20 loan ids per ms between the starts of two runs, more than can be lent in a ms.
     */
    private static final int INCARNATION_SHIFT = 20;

    private record BorrowerAndService(String borrower, String service) {}

    private static final class PendingRequest {
        private final LoanMessage.Ask mAsk;
        private final long mExpiresMs;
        private int mRemaining;

        private PendingRequest(LoanMessage.Ask ask, long expiresMs) {
            mAsk = ask;
            mExpiresMs = expiresMs;
            mRemaining = ask.count();
        }
    }

    private static final class Loan {
        private final String mBorrower;
        private final TargetState mTarget;
        private final Resources mNeed;
        private final long mExpiresMs;
        private int mCount;

        private Loan(String borrower, TargetState target, Resources need, long expiresMs) {
            mBorrower = borrower;
            mTarget = target;
            mNeed = need;
            mExpiresMs = expiresMs;
        }
    }

    private final TargetPool mTargets;
    private final Map<BorrowerAndService, PendingRequest> mPendingRequests = new LinkedHashMap<>();
    private final Map<Long, Loan> mLoans = new LinkedHashMap<>();
    private long mNextLoanId;
    private final RequestPacing mRecalls = RequestPacing.create(MIN_RECALL_INTERVAL_MS, 0);

    private Lender(TargetPool targets, long firstLoanId) {
        mTargets = targets;
        mNextLoanId = firstLoanId;
    }

    /**
     * Makes a lender of slots on the pool's owned targets.
     *
     * @param incarnation number of this run of the process; loans of two runs have different ids,
     *     since a slot that is returned may belong to a loan of an earlier run
     */
    public static Lender create(TargetPool targets, long incarnation) {
        return new Lender(targets, incarnation << INCARNATION_SHIFT);
    }

    /** Number of slots that are lent now. */
    public int lentSlots() {
        return mLoans.values().stream().mapToInt(loan -> loan.mCount).sum();
    }

    /** Takes a loan request, which replaces an earlier one of the same sibling and service. */
    public void onAsk(
            String borrower,
            LoanMessage.Ask ask,
            Set<String> waitingServices,
            long nowMs,
            List<LoanAction> out) {
        BorrowerAndService key = new BorrowerAndService(borrower, ask.service());
        mPendingRequests.put(key, new PendingRequest(ask, nowMs + REQUEST_VALID_MS));
        servePending(waitingServices, nowMs, out);
    }

    /** Serves pending requests from free capacity, except for services that own tasks wait for. */
    private void servePending(Set<String> waitingServices, long nowMs, List<LoanAction> out) {
        Iterator<Map.Entry<BorrowerAndService, PendingRequest>> requests =
                mPendingRequests.entrySet().iterator();
        while (requests.hasNext()) {
            Map.Entry<BorrowerAndService, PendingRequest> entry = requests.next();
            PendingRequest request = entry.getValue();
            if (nowMs < request.mExpiresMs && !waitingServices.contains(entry.getKey().service())) {
                grant(entry.getKey().borrower(), request, nowMs, out);
            }
            if (nowMs >= request.mExpiresMs || request.mRemaining == 0) {
                requests.remove();
            }
        }
    }

    private void grant(String borrower, PendingRequest request, long nowMs, List<LoanAction> out) {
        LoanMessage.Ask ask = request.mAsk;
        Map<TargetState, Loan> loans = new LinkedHashMap<>();
        while (request.mRemaining > 0) {
            Optional<TargetState> target =
                    mTargets.choose(ask.service(), ask.need(), Set.of(), nowMs);
            if (target.isEmpty()) {
                break;
            }
            mTargets.onStarted(target.get(), ask.need());
            loans.computeIfAbsent(target.get(), state -> newLoan(borrower, state, ask, nowMs))
                    .mCount++;
            request.mRemaining--;
        }
        if (!loans.isEmpty()) {
            out.add(new LoanAction(borrower, registerLoans(ask, loans)));
        }
    }

    private static Loan newLoan(
            String borrower, TargetState target, LoanMessage.Ask ask, long nowMs) {
        return new Loan(borrower, target, ask.need(), TERM.lenderEndMs(nowMs));
    }

    private LoanMessage.Given registerLoans(LoanMessage.Ask ask, Map<TargetState, Loan> loans) {
        List<LoanMessage.Line> lines = new ArrayList<>();
        for (Loan loan : loans.values()) {
            long id = mNextLoanId++;
            mLoans.put(id, loan);
            String address = loan.mTarget.target().address();
            lines.add(new LoanMessage.Line(id, address, loan.mNeed, loan.mCount, TERM.termMs()));
        }
        return new LoanMessage.Given(ask.service(), lines);
    }

    /**
     * Takes slots back; ignores returns for loans that have ended or belong to another borrower.
     */
    public void onBack(String borrower, LoanMessage.Back back, long nowMs) {
        back.returns().forEach(returned -> onReturn(borrower, returned, nowMs));
    }

    private void onReturn(String borrower, LoanMessage.Return returned, long nowMs) {
        Loan loan = mLoans.get(returned.loanId());
        if (loan == null || !loan.mBorrower.equals(borrower)) {
            return;
        }
        int count = Math.min(returned.count(), loan.mCount);
        for (int i = 0; i < count; i++) {
            mTargets.onLoanEnded(loan.mTarget, loan.mNeed, i < returned.blamed(), nowMs);
        }
        loan.mCount -= count;
        if (loan.mCount == 0) {
            mLoans.remove(returned.loanId());
        }
    }

    /** Recalls up to as many slots as own tasks wait for, at most once per interval. */
    public void recall(Map<String, Integer> ownWaiting, long nowMs, List<LoanAction> out) {
        if (!mRecalls.isDue(nowMs)) {
            return;
        }
        Map<BorrowerAndService, Integer> lentCounts = new LinkedHashMap<>();
        for (Loan loan : mLoans.values()) {
            BorrowerAndService key =
                    new BorrowerAndService(loan.mBorrower, loan.mTarget.target().service());
            lentCounts.merge(key, loan.mCount, Integer::sum);
        }
        Map<String, Integer> wanted = new HashMap<>(ownWaiting);
        lentCounts.forEach(
                (key, count) -> {
                    int recalled = Math.min(count, wanted.getOrDefault(key.service(), 0));
                    if (recalled > 0) {
                        wanted.merge(key.service(), -recalled, Integer::sum);
                        mRecalls.sent(nowMs, 0);
                        LoanMessage recall = new LoanMessage.Recall(key.service(), recalled);
                        out.add(new LoanAction(key.borrower(), recall));
                    }
                });
    }

    /**
     * Ends loans that have expired or whose borrower is no longer a sibling; serves pending
     * requests.
     */
    public void onTick(
            Set<String> siblings, Set<String> waitingServices, long nowMs, List<LoanAction> out) {
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
        servePending(waitingServices, nowMs, out);
    }
}
