package org.boragegap.core.loan;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Decides which idle targets the controller of a cell lends, and when it may take them back.
 *
 * <p>While a target is lent, the lender may neither call it nor place tasks there: the borrower
 * gives orders to it under the lender's fencing token, so the target can't tell the two apart.
 */
public final class TargetLender {
    /** How long a loan lasts, in ms; a borrower that needs it for longer renews it. */
    public static final long TERM_MS = 2_000;

    /**
     * A lease of a second on a clock that is 2% slow (1,021 ms), and 100 ms for clocks that run at
     * slightly different rates. The borrower's leases end with the loan, so that nothing that a
     * lost borrower started is still active then.
     */
    private static final long EXPIRY_MARGIN_MS = 1_121;

    private static final long MIN_RECALL_INTERVAL_MS = 200;
    private static final LoanTerm TERM = new LoanTerm(TERM_MS, EXPIRY_MARGIN_MS);

    /**
     * A term of a borrowing cell's controller.
     *
     * @param cell number of the cell
     * @param fence fencing token of the term
     */
    public record BorrowerTerm(int cell, long fence) {}

    /**
     * A request for loans.
     *
     * @param borrower who asks
     * @param number rises with each request of the borrower's term
     * @param neededCpu processor that is missing, in thousandths of a core; 0 to renew only
     * @param largestTaskCpu processor demand of the largest task, in thousandths of a core
     * @param renewals numbers of the loans to be renewed
     */
    public record Request(
            BorrowerTerm borrower,
            long number,
            int neededCpu,
            int largestTaskCpu,
            List<Long> renewals) {
        private boolean isAfter(Request other) {
            long fence = borrower.fence();
            long otherFence = other.borrower.fence();
            return fence > otherFence || fence == otherFence && number > other.number;
        }
    }

    /**
     * A target that could be lent.
     *
     * @param id id of the target
     * @param cpuMillis its processor capacity, in thousandths of a core
     */
    public record IdleTarget(String id, int cpuMillis) {}

    /**
     * The answer to a request.
     *
     * @param loans new loans
     * @param renewed numbers of the loans that last for another term from now
     */
    public record Grant(List<TargetLoan> loans, List<Long> renewed) {}

    /**
     * Loans that the lender needs back.
     *
     * @param borrower who has them
     * @param loans their numbers
     */
    public record Recall(BorrowerTerm borrower, List<Long> loans) {}

    private static final class Lent {
        private final BorrowerTerm mBorrower;
        private final TargetLoan mLoan;
        private long mEndMs;

        private Lent(BorrowerTerm borrower, TargetLoan loan, long endMs) {
            mBorrower = borrower;
            mLoan = loan;
            mEndMs = endMs;
        }
    }

    private final Map<Long, Lent> mLent = new LinkedHashMap<>();
    private final Map<Integer, Request> mLastRequests = new HashMap<>();
    private final RequestPacing mRecalls = RequestPacing.create(MIN_RECALL_INTERVAL_MS, 0);
    private long mNextLoanId = 1;

    private TargetLender() {}

    /** Creates a lender for one term of a controller; it has lent nothing. */
    public static TargetLender create() {
        return new TargetLender();
    }

    /** Number of targets that are lent now. */
    public int lentTargets() {
        return mLent.size();
    }

    /** How many of the idle targets may be lent, so that half of what would be idle is kept. */
    public int lendable(int idle) {
        return Math.max(0, (idle + mLent.size()) / 2 - mLent.size());
    }

    /**
     * Answers a request. One that arrives twice, or after a later one of its cell, is granted
     * nothing: a borrower takes only one grant for each request.
     *
     * @param idle targets that may be lent; empty if the lender needs them itself
     */
    public Grant onRequest(Request request, List<IdleTarget> idle, long nowMs) {
        Request last = mLastRequests.get(request.borrower().cell());
        if (last != null && !request.isAfter(last)) {
            return new Grant(List.of(), List.of());
        }
        mLastRequests.put(request.borrower().cell(), request);
        List<Long> renewed = renew(request, nowMs);
        return new Grant(lend(request, idle, nowMs), renewed);
    }

    private List<Long> renew(Request request, long nowMs) {
        List<Long> renewed = new ArrayList<>();
        for (long id : request.renewals()) {
            Lent lent = mLent.get(id);
            if (lent != null && lent.mBorrower.equals(request.borrower())) {
                lent.mEndMs = TERM.lenderEndMs(nowMs);
                renewed.add(id);
            }
        }
        return renewed;
    }

    private List<TargetLoan> lend(Request request, List<IdleTarget> idle, long nowMs) {
        List<TargetLoan> loans = new ArrayList<>();
        int allowed = lendable(idle.size());
        int missingCpu = request.neededCpu();
        for (IdleTarget target : idle) {
            if (missingCpu <= 0 || loans.size() >= allowed) {
                break;
            }
            if (target.cpuMillis() >= request.largestTaskCpu()) {
                TargetLoan loan = new TargetLoan(mNextLoanId++, target.id());
                Lent lent = new Lent(request.borrower(), loan, TERM.lenderEndMs(nowMs));
                mLent.put(loan.id(), lent);
                loans.add(loan);
                missingCpu -= target.cpuMillis();
            }
        }
        return loans;
    }

    /**
     * Ends returned loans, except those that have ended or belong to another borrower.
     *
     * @return ids of the targets that the lender has back
     */
    public List<String> onReturn(BorrowerTerm borrower, List<Long> loans) {
        List<String> targets = new ArrayList<>();
        for (long id : loans) {
            Lent lent = mLent.get(id);
            if (lent != null && lent.mBorrower.equals(borrower)) {
                mLent.remove(id);
                targets.add(lent.mLoan.target());
            }
        }
        return targets;
    }

    /**
     * Ends loans that nobody has returned in time.
     *
     * @return ids of the targets that the lender has back
     */
    public List<String> onTick(long nowMs) {
        List<String> targets = new ArrayList<>();
        for (Lent lent : List.copyOf(mLent.values())) {
            if (nowMs > lent.mEndMs) {
                mLent.remove(lent.mLoan.id());
                targets.add(lent.mLoan.target());
            }
        }
        return targets;
    }

    /**
     * Recalls loans, at most once per interval; repeated while they are needed, since a recall may
     * be lost.
     *
     * @param leaving lent targets that must not be given work any more
     * @param count number of further targets that the lender needs
     */
    public List<Recall> recall(Set<String> leaving, int count, long nowMs) {
        if (mLent.isEmpty() || leaving.isEmpty() && count <= 0 || !mRecalls.isDue(nowMs)) {
            return List.of();
        }
        mRecalls.sent(nowMs, 0);
        List<Lent> lent = new ArrayList<>(mLent.values());
        lent.sort(Comparator.comparing(one -> !leaving.contains(one.mLoan.target())));
        Map<BorrowerTerm, List<Long>> recalled = new LinkedHashMap<>();
        for (Lent one : lent.subList(0, Math.min(lent.size(), leaving.size() + count))) {
            recalled.computeIfAbsent(one.mBorrower, borrower -> new ArrayList<>())
                    .add(one.mLoan.id());
        }
        List<Recall> recalls = new ArrayList<>();
        recalled.forEach((borrower, loans) -> recalls.add(new Recall(borrower, loans)));
        return recalls;
    }
}
