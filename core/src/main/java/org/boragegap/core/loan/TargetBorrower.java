package org.boragegap.core.loan;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.boragegap.core.ClockReading;

/**
 * Decides when the controller of a cell borrows targets and from whom, until when it may use them,
 * and when it renews or returns them.
 */
public final class TargetBorrower {
    /** Least time between two requests, in ms: a loan takes two one-way delays and a report. */
    private static final long MIN_REQUEST_INTERVAL_MS = 20;

    /** Time after which an unanswered request counts as lost, in ms. */
    private static final long REPEAT_REQUEST_MS = 100;

    /** A loan that lasts for less than this, in ms, is renewed if its target is in use. */
    private static final long RENEW_BEFORE_END_MS = 1_500;

    /**
     * How long a borrowed target may be idle without need, in ms, before it is returned. Demand of
     * a short gap between two jobs shouldn't cost a request.
     */
    private static final long MAX_UNNEEDED_MS = 200;

    /** A cell with a smaller share of its processor free than one in this many borrows. */
    private static final int MIN_FREE_DIVISOR = 10;

    /**
     * The need of a cell.
     *
     * @param ownCpu processor of its own targets that may be given work, in thousandths of a core
     * @param freeCpu processor that is free, borrowed targets included, in whole tasks
     * @param waitingCpu processor that waiting tasks need
     * @param largestTaskCpu processor that its largest task needs; 0 if it has no jobs
     */
    public record Demand(long ownCpu, long freeCpu, long waitingCpu, int largestTaskCpu) {
        /** Processor that is missing; 0 if the cell needs no loan. */
        public int missingCpu() {
            if (largestTaskCpu == 0) {
                return 0;
            }
            long reserveCpu = ownCpu / MIN_FREE_DIVISOR - freeCpu;
            long missingCpu = Math.max(0, Math.max(waitingCpu - freeCpu, reserveCpu));
            return (int) Math.min(Integer.MAX_VALUE, missingCpu);
        }
    }

    /**
     * A request to be sent.
     *
     * @param lender to whom
     * @param number number of the request; the grant repeats it
     * @param neededCpu processor that is missing, in thousandths of a core; 0 to renew only
     * @param renewals numbers of the loans to be renewed
     */
    public record Ask(
            LenderDirectory.Lender lender, long number, int neededCpu, List<Long> renewals) {}

    /**
     * What a lender has granted.
     *
     * @param cell number of the lending cell
     * @param fence fencing token of the lender
     * @param number number of the request
     * @param termMs how long each loan lasts, in ms
     * @param loans new loans
     * @param renewed numbers of the renewed loans
     */
    public record Granted(
            int cell,
            long fence,
            long number,
            long termMs,
            List<TargetLoan> loans,
            List<Long> renewed) {}

    private record SentRequest(int cell, long fence, ClockReading sent, boolean renewsOnly) {}

    private record LoanKey(int cell, long fence, long loan) {}

    private final int mOwnCell;
    private final LenderDirectory mLenders;
    private final Map<Long, SentRequest> mSentRequests = new HashMap<>();
    private final Map<LoanKey, BorrowedTarget> mLoans = new LinkedHashMap<>();
    private final Map<LoanKey, Long> mUnneededSinceMs = new HashMap<>();
    private final RequestPacing mRequests =
            RequestPacing.create(MIN_REQUEST_INTERVAL_MS, REPEAT_REQUEST_MS);
    private final RequestPacing mRenewals = RequestPacing.create(REPEAT_REQUEST_MS, 0);
    private long mNextNumber = 1;

    private TargetBorrower(int ownCell, LenderDirectory lenders) {
        mOwnCell = ownCell;
        mLenders = lenders;
    }

    /** Creates a borrower for one term of the controller of a cell; it has borrowed nothing. */
    public static TargetBorrower create(int ownCell, LenderDirectory lenders) {
        return new TargetBorrower(ownCell, lenders);
    }

    /** All loans that are not returned. */
    public Collection<BorrowedTarget> loans() {
        return mLoans.values();
    }

    /** True when a request may be sent, and there is a lender: the need is worth computing. */
    public boolean mayAsk(long nowMs) {
        return mRequests.isDue(nowMs) && mLenders.mostIdle(mOwnCell, nowMs).isPresent();
    }

    /** Requests what is missing from the cell with the most idle targets. */
    public Optional<Ask> ask(Demand demand, ClockReading now) {
        int missingCpu = demand.missingCpu();
        if (missingCpu == 0 || !mayAsk(now.monotonicMs())) {
            return Optional.empty();
        }
        Optional<LenderDirectory.Lender> lender = mLenders.mostIdle(mOwnCell, now.monotonicMs());
        lender.ifPresent(one -> mRequests.sent(now.monotonicMs(), 1));
        return lender.map(one -> createAsk(one, missingCpu, List.of(), now));
    }

    private Ask createAsk(
            LenderDirectory.Lender lender, int neededCpu, List<Long> renewals, ClockReading now) {
        long number = mNextNumber++;
        mSentRequests
                .values()
                .removeIf(
                        old -> now.monotonicMs() - old.sent().monotonicMs() > TargetLender.TERM_MS);
        boolean renewsOnly = neededCpu == 0;
        mSentRequests.put(number, new SentRequest(lender.cell(), lender.fence(), now, renewsOnly));
        return new Ask(lender, number, neededCpu, renewals);
    }

    /**
     * Renews loans that end soon. A recalled loan is renewed as well while something runs on the
     * target: otherwise the run would be lost, and the lender would get it back later.
     *
     * @param inUse ids of borrowed targets that are busy or needed
     */
    public List<Ask> renew(Set<String> inUse, ClockReading now) {
        if (mLoans.isEmpty() || !mRenewals.isDue(now.monotonicMs())) {
            return List.of();
        }
        Map<LenderDirectory.Lender, List<Long>> ending = new LinkedHashMap<>();
        for (BorrowedTarget loan : mLoans.values()) {
            boolean endsSoon = loan.endMs() - now.monotonicMs() < RENEW_BEFORE_END_MS;
            if (endsSoon && loan.mayCall(now.monotonicMs()) && inUse.contains(loan.target())) {
                mLenders.controller(loan.lenderCell(), loan.lenderFence())
                        .ifPresent(
                                lender ->
                                        ending.computeIfAbsent(lender, key -> new ArrayList<>())
                                                .add(loan.loan()));
            }
        }
        if (!ending.isEmpty()) {
            mRenewals.sent(now.monotonicMs(), 0);
        }
        List<Ask> asks = new ArrayList<>();
        ending.forEach((lender, loans) -> asks.add(createAsk(lender, 0, loans, now)));
        return asks;
    }

    /**
     * Takes a grant; returns the new loans. Only the first grant for each request counts: a grant
     * that is delivered again may name a loan that has been returned since.
     */
    public List<BorrowedTarget> onGrant(Granted granted, ClockReading now) {
        SentRequest request = mSentRequests.get(granted.number());
        boolean answers =
                request != null
                        && request.cell() == granted.cell()
                        && request.fence() == granted.fence();
        if (!answers) {
            return List.of();
        }
        mSentRequests.remove(granted.number());
        if (!request.renewsOnly()) {
            mRequests.granted(1);
            if (granted.loans().isEmpty()) {
                mLenders.exhausted(granted.cell());
            }
        }
        List<BorrowedTarget> added = add(granted, request.sent(), now.monotonicMs());
        // This VM may have been paused while the request was under way.
        endAfterPause(now);
        return added;
    }

    private List<BorrowedTarget> add(Granted granted, ClockReading sent, long nowMs) {
        long endMs = LoanTerm.borrowerEndMs(sent.monotonicMs(), nowMs, granted.termMs());
        for (long id : granted.renewed()) {
            Optional.ofNullable(mLoans.get(key(granted, id)))
                    .ifPresent(loan -> loan.renew(sent, endMs));
        }
        List<BorrowedTarget> added = new ArrayList<>();
        for (TargetLoan loan : granted.loans()) {
            BorrowedTarget borrowed =
                    new BorrowedTarget(granted.cell(), granted.fence(), loan, sent, endMs);
            mLoans.put(key(granted, loan.id()), borrowed);
            added.add(borrowed);
        }
        return added;
    }

    private static LoanKey key(Granted granted, long loan) {
        return new LoanKey(granted.cell(), granted.fence(), loan);
    }

    private static LoanKey key(BorrowedTarget loan) {
        return new LoanKey(loan.lenderCell(), loan.lenderFence(), loan.loan());
    }

    /** The lender needs its targets: nothing more is started there. */
    public void onRecall(int cell, long fence, List<Long> loans) {
        for (long id : loans) {
            Optional.ofNullable(mLoans.get(new LoanKey(cell, fence, id)))
                    .ifPresent(BorrowedTarget::recall);
        }
    }

    /** Ends all loans that were counted before a pause of this VM. */
    public void endAfterPause(ClockReading now) {
        mLoans.values().forEach(loan -> loan.endIfPaused(now));
    }

    /**
     * True when a target on which nothing runs, and no order is unresolved, should be returned: the
     * loan is recalled or over, or the target was of no use for a while.
     *
     * @param useful whether the cell needs the target, and it can be given work
     */
    public boolean shouldReturn(BorrowedTarget loan, boolean useful, long nowMs) {
        if (!loan.active(nowMs)) {
            return true;
        }
        if (useful) {
            mUnneededSinceMs.remove(key(loan));
            return false;
        }
        long sinceMs = mUnneededSinceMs.computeIfAbsent(key(loan), one -> nowMs);
        return nowMs - sinceMs >= MAX_UNNEEDED_MS;
    }

    /** Removes a loan that was returned. */
    public void remove(BorrowedTarget loan) {
        mLoans.remove(key(loan));
        mUnneededSinceMs.remove(key(loan));
    }
}
