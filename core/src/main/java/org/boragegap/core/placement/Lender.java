package org.boragegap.core.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.boragegap.core.job.Need;

/**
 * Lends room on this VM's targets to its siblings.
 *
 * <p>The owner goes on accounting for what it lent. A borrower that dies gives nothing back, so a
 * loan ends by itself when its term and a margin are over.
 */
public final class Lender {
    private static final long TERM_MS = 300;
    private static final long MARGIN_MS = 5_000;

    private static final class Loan {
        private final String mBorrower;
        private final TargetState mTarget;
        private final Need mNeed;
        private final long mEndsMs;
        private int mCount;

        private Loan(String borrower, TargetState target, Need need, long endsMs) {
            mBorrower = borrower;
            mTarget = target;
            mNeed = need;
            mEndsMs = endsMs;
        }
    }

    private final TargetPool mTargets;
    private final Map<Long, Loan> mLoans = new LinkedHashMap<>();
    private long mNextLoan = 1;

    private Lender(TargetPool targets) {
        mTargets = targets;
    }

    /** Makes a lender of the pool's owned targets. */
    public static Lender create(TargetPool targets) {
        return new Lender(targets);
    }

    /** How much is lent, in tasks at once. */
    public int lent() {
        return mLoans.values().stream().mapToInt(loan -> loan.mCount).sum();
    }

    /** Answers an ask; gives nothing while own work waits for the same kind of target. */
    public LoanMessage.Given onAsk(
            String borrower, LoanMessage.Ask ask, boolean ownWorkWaits, long nowMs) {
        if (ownWorkWaits) {
            return new LoanMessage.Given(ask.service(), List.of());
        }
        Map<TargetState, Loan> loans = new LinkedHashMap<>();
        for (int i = 0; i < ask.count(); i++) {
            Optional<TargetState> target =
                    mTargets.place(ask.service(), ask.need(), Set.of(), nowMs);
            if (target.isEmpty()) {
                break;
            }
            mTargets.onStarted(target.get(), ask.need());
            loans.computeIfAbsent(target.get(), state -> newLoan(borrower, state, ask, nowMs))
                    .mCount++;
        }
        return given(ask, loans);
    }

    private static Loan newLoan(
            String borrower, TargetState target, LoanMessage.Ask ask, long nowMs) {
        return new Loan(borrower, target, ask.need(), nowMs + TERM_MS + MARGIN_MS);
    }

    private LoanMessage.Given given(LoanMessage.Ask ask, Map<TargetState, Loan> loans) {
        List<LoanMessage.Line> lines = new ArrayList<>();
        for (Loan loan : loans.values()) {
            long id = mNextLoan++;
            mLoans.put(id, loan);
            String address = loan.mTarget.target().address();
            lines.add(new LoanMessage.Line(id, address, loan.mNeed, loan.mCount, TERM_MS));
        }
        return new LoanMessage.Given(ask.service(), lines);
    }

    /** Takes room back; what comes for a loan that has ended is ignored. */
    public void onBack(LoanMessage.Back back, long nowMs) {
        Loan loan = mLoans.get(back.loanId());
        if (loan == null) {
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

    /** Ends loans whose term is over, and those of borrowers that are no siblings any more. */
    public void onTick(Set<String> siblings, long nowMs) {
        Iterator<Loan> loans = mLoans.values().iterator();
        while (loans.hasNext()) {
            Loan loan = loans.next();
            if (nowMs >= loan.mEndsMs || !siblings.contains(loan.mBorrower)) {
                for (int i = 0; i < loan.mCount; i++) {
                    mTargets.onLoanEnded(loan.mTarget, loan.mNeed, false, nowMs);
                }
                loans.remove();
            }
        }
    }

    /** What is lent, by borrower. */
    public Map<String, Integer> byBorrower() {
        Map<String, Integer> lent = new HashMap<>();
        for (Loan loan : mLoans.values()) {
            lent.merge(loan.mBorrower, loan.mCount, Integer::sum);
        }
        return lent;
    }
}
