package org.boragegap.core.cell;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.boragegap.core.ClockReading;
import org.boragegap.core.loan.BorrowedTarget;
import org.boragegap.core.loan.LenderDirectory;
import org.boragegap.core.loan.TargetBorrower;
import org.boragegap.core.loan.TargetLender;
import org.boragegap.core.loan.TargetLoan;

/**
 * Lends and borrows targets in one term of a controller. A lent target is not among the targets of
 * the term; a borrowed one is, with its loan.
 */
final class CellLoans {
    private final int mCell;
    private final Term mTerm;
    private final LeaseManager mLeases;
    private final LenderDirectory mDirectory;
    private final TargetLender mLender = TargetLender.create();
    private final TargetBorrower mBorrower;
    private boolean mHasBorrowed;

    CellLoans(int cell, Term term, LeaseManager leases, LenderDirectory directory) {
        mCell = cell;
        mTerm = term;
        mLeases = leases;
        mDirectory = directory;
        mBorrower = TargetBorrower.create(cell, directory);
    }

    /** True when tasks of this term may have been started on borrowed targets. */
    boolean hasBorrowed() {
        return mHasBorrowed;
    }

    /** Number of targets that are lent now. */
    int lent() {
        return mLender.lentTargets();
    }

    /** Number of targets that are borrowed now. */
    int borrowed() {
        return mBorrower.loans().size();
    }

    /** Number of targets that would be lent now. */
    int lendable() {
        return mLender.lendable(idleTargets().size());
    }

    /** Has to be called before each event is handled. */
    void beginEvent(ClockReading clock) {
        mBorrower.endAfterPause(clock);
    }

    // Lender

    /**
     * Own targets that are certainly idle: nothing runs there, and no order is unresolved. A cell
     * that has borrowed, or whose own jobs wait, lends none.
     */
    private List<Target> idleTargets() {
        List<Target> idle = new ArrayList<>();
        boolean needed = !mTerm.waiting().isEmpty() || !mBorrower.loans().isEmpty();
        for (Target target : needed ? List.<Target>of() : mTerm.targets().values()) {
            boolean usable = mTerm.acceptsWork(target) && !target.unlisted();
            boolean certain = !target.busy() && !target.calls().lastOrderFailed();
            if (usable && certain && !target.quarantined()) {
                idle.add(target);
            }
        }
        // A borrower can use those first whose lease, as granted here, ends first.
        idle.sort(Comparator.comparingLong(Target::lastLeaseEndMs));
        return idle;
    }

    void received(String from, CellMessage message, ClockReading clock, boolean settled) {
        if (message instanceof CellMessage.LoanRequest request) {
            if (request.lenderFence() == mTerm.fence()) {
                requested(from, request, settled);
            }
        } else if (message instanceof CellMessage.LoanGrant grant) {
            if (grant.borrowerFence() == mTerm.fence()) {
                granted(grant, clock);
            }
        } else if (message instanceof CellMessage.LoanReturn returned) {
            if (returned.lenderFence() == mTerm.fence()) {
                returned(returned);
            }
        } else if (message instanceof CellMessage.LoanRecall recall) {
            mBorrower.onRecall(recall.cell(), recall.fence(), recall.loans());
        }
    }

    private void requested(String from, CellMessage.LoanRequest request, boolean settled) {
        Map<String, Target> idle = new LinkedHashMap<>();
        boolean mayLend = settled && mTerm.isExclusive();
        for (Target target : mayLend ? idleTargets() : List.<Target>of()) {
            if (target.info().service().equals(request.service())) {
                idle.put(target.id(), target);
            }
        }
        List<TargetLender.IdleTarget> offered = new ArrayList<>();
        idle.forEach(
                (id, target) ->
                        offered.add(new TargetLender.IdleTarget(id, target.info().cpuMillis())));
        TargetLender.Grant grant =
                mLender.onRequest(
                        new TargetLender.Request(
                                new TargetLender.BorrowerTerm(request.cell(), request.fence()),
                                request.number(),
                                request.neededCpu(),
                                request.largestTaskCpu(),
                                request.renewals()),
                        offered,
                        mTerm.nowMs());
        List<CellMessage.LentTarget> lent = new ArrayList<>();
        for (TargetLoan loan : grant.loans()) {
            Target target = idle.get(loan.target());
            mLeases.lend(target);
            long leaseLeftMs = target.lastLeaseEndMs() - mTerm.nowMs();
            lent.add(new CellMessage.LentTarget(loan.id(), target.info(), leaseLeftMs));
            logLoan("lend", loan, request.cell(), "idle=" + idle.size(), "not called any more");
        }
        mTerm.emit(
                new CellAction.SendLoan(
                        from,
                        request.cell(),
                        new CellMessage.LoanGrant(
                                mCell,
                                mTerm.fence(),
                                request.fence(),
                                request.number(),
                                TargetLender.TERM_MS,
                                lent,
                                grant.renewed())));
    }

    private void returned(CellMessage.LoanReturn message) {
        TargetLender.BorrowerTerm borrower =
                new TargetLender.BorrowerTerm(message.cell(), message.fence());
        for (String target : mLender.onReturn(borrower, message.loans())) {
            takeBack(target, "returned");
        }
    }

    private void takeBack(String target, String cause) {
        mTerm.log(Decision.target("loan-end", target, "cause=" + cause, "called again"));
        mLeases.takeBack(target);
    }

    private void recall() {
        if (mTerm.lentTargets().isEmpty()) {
            return;
        }
        Set<String> leaving = new HashSet<>();
        mTerm.lentTargets()
                .forEach(
                        (id, lent) -> {
                            boolean evacuated = !mTerm.evacuations().allows(lent.info());
                            if (lent.info().draining() || evacuated) {
                                leaving.add(id);
                            }
                        });
        int needed = mTerm.waiting().size();
        for (TargetLender.Recall recall : mLender.recall(leaving, needed, mTerm.nowMs())) {
            TargetLender.BorrowerTerm borrower = recall.borrower();
            mTerm.log(
                    Decision.self(
                            "recall",
                            "cell=" + borrower.cell() + " waiting_jobs=" + needed,
                            recall.loans().size() + " targets"));
            send(
                    mDirectory.controller(borrower.cell(), borrower.fence()),
                    new CellMessage.LoanRecall(mCell, mTerm.fence(), recall.loans()));
        }
    }

    // Borrower

    private void granted(CellMessage.LoanGrant grant, ClockReading clock) {
        Map<String, CellMessage.LentTarget> lentTargets = new LinkedHashMap<>();
        List<TargetLoan> loans = new ArrayList<>();
        for (CellMessage.LentTarget lent : grant.targets()) {
            lentTargets.put(lent.target().id(), lent);
            loans.add(new TargetLoan(lent.loan(), lent.target().id()));
        }
        TargetBorrower.Granted granted =
                new TargetBorrower.Granted(
                        grant.cell(),
                        grant.fence(),
                        grant.number(),
                        grant.termMs(),
                        loans,
                        grant.renewed());
        for (BorrowedTarget loan : mBorrower.onGrant(granted, clock)) {
            if (mTerm.targets().containsKey(loan.target())) {
                // Leases of an earlier loan of the target have not expired yet.
                giveBack(List.of(loan));
                continue;
            }
            mHasBorrowed = true;
            long leftMs = loan.endMs() - mTerm.nowMs();
            mTerm.log(
                    Decision.target(
                            "borrow",
                            loan.target(),
                            "cell=" + loan.lenderCell() + " left_ms=" + leftMs,
                            "called as a target of this cell"));
            CellMessage.LentTarget lent = lentTargets.get(loan.target());
            mLeases.borrow(lent.target(), loan, lent.leaseLeftMs());
        }
    }

    /** Requests targets if the cell needs them. */
    void askIfNeeded(ClockReading clock) {
        // The need is computed only when a request may be sent.
        if (mBorrower.mayAsk(mTerm.nowMs())) {
            TargetBorrower.Demand demand = demand();
            mBorrower.ask(demand, clock).ifPresent(ask -> send(ask, demand.largestTaskCpu()));
        }
    }

    private void send(TargetBorrower.Ask ask, int largestTaskCpu) {
        mTerm.log(
                Decision.self(
                        "loan-request",
                        "cell="
                                + ask.lender().cell()
                                + " needed_cpu="
                                + ask.neededCpu()
                                + " heard_ms="
                                + (mTerm.nowMs() - ask.lender().heardMs())
                                + " renewals="
                                + ask.renewals().size(),
                        "asked"));
        send(
                Optional.of(ask.lender()),
                new CellMessage.LoanRequest(
                        mCell,
                        mTerm.fence(),
                        ask.lender().fence(),
                        ask.number(),
                        neededService(),
                        ask.neededCpu(),
                        largestTaskCpu,
                        ask.renewals()));
    }

    /** Service that the next waiting job needs; without waiting jobs, that of any job. */
    private String neededService() {
        Stream<CellJob> jobs =
                Stream.concat(mTerm.waiting().stream(), mTerm.jobs().values().stream());
        return jobs.findFirst().map(job -> job.request().service()).orElse("");
    }

    private TargetBorrower.Demand demand() {
        String service = neededService();
        int largestCpu = 0;
        for (CellJob job : mTerm.jobs().values()) {
            if (!job.request().service().equals(service)) {
                continue;
            }
            for (StepRequest step : job.request().steps()) {
                largestCpu = Math.max(largestCpu, step.cpuMillis());
            }
        }
        if (largestCpu == 0) {
            return new TargetBorrower.Demand(0, 0, 0, 0);
        }
        long ownCpu = 0;
        long freeCpu = 0;
        for (Target target : mTerm.targets().values()) {
            if (!target.info().service().equals(service)) {
                continue;
            }
            if (mTerm.acceptsWork(target)) {
                ownCpu += target.loan().isEmpty() ? target.info().cpuMillis() : 0;
                freeCpu += Math.max(0, target.freeCpu()) / largestCpu * largestCpu;
            } else if (isExpected(target)) {
                freeCpu += target.info().cpuMillis();
            }
        }
        return new TargetBorrower.Demand(ownCpu, freeCpu, waitingCpu(service), largestCpu);
    }

    /** True for a target that was borrowed just now and can't be given work yet. */
    private boolean isExpected(Target target) {
        boolean usable = target.loan().filter(loan -> loan.mayStart(mTerm.nowMs())).isPresent();
        boolean leased = !target.otherCellsLeaseEndsBy(mTerm.exclusiveUntilMs());
        boolean answers = !target.calls().lastOrderFailed();
        return usable && answers && (leased || !target.reported());
    }

    private long waitingCpu(String service) {
        long waitingCpu = 0;
        for (CellJob job : mTerm.waiting()) {
            if (!job.abandoned() && job.request().service().equals(service)) {
                for (CellTask task : job.readyTasks()) {
                    waitingCpu += task.step().cpuMillis();
                }
            }
        }
        return waitingCpu;
    }

    void tick(ClockReading clock) {
        mLender.onTick(mTerm.nowMs()).forEach(target -> takeBack(target, "expired"));
        recall();
        if (!mBorrower.loans().isEmpty()) {
            returnAndRenew(clock);
        }
        askIfNeeded(clock);
    }

    private void returnAndRenew(ClockReading clock) {
        TargetBorrower.Demand demand = demand();
        Set<String> inUse = new HashSet<>();
        List<BorrowedTarget> toReturn = new ArrayList<>();
        for (BorrowedTarget loan : List.copyOf(mBorrower.loans())) {
            Target target = mTerm.targets().get(loan.target());
            boolean gone = target == null || target.loan().filter(own -> own == loan).isEmpty();
            boolean busy = !gone && target.busy();
            boolean usable = !gone && (mTerm.acceptsWork(target) || isExpected(target));
            boolean useful = usable && isNeeded(target, demand);
            if (busy || useful && !mBorrower.shouldReturn(loan, true, mTerm.nowMs())) {
                inUse.add(loan.target());
            } else if (gone || mBorrower.shouldReturn(loan, useful, mTerm.nowMs())) {
                toReturn.add(loan);
            }
        }
        giveBack(toReturn);
        mBorrower.renew(inUse, clock).forEach(ask -> send(ask, demand.largestTaskCpu()));
    }

    /** True when the cell would have to borrow again if it returned the idle target. */
    private static boolean isNeeded(Target target, TargetBorrower.Demand demand) {
        long freeCpu = demand.freeCpu() - target.info().cpuMillis();
        return new TargetBorrower.Demand(
                                demand.ownCpu(),
                                freeCpu,
                                demand.waitingCpu(),
                                demand.largestTaskCpu())
                        .missingCpu()
                > 0;
    }

    /** Returns targets on which nothing runs; they are not called any more. */
    private void giveBack(List<BorrowedTarget> loans) {
        Map<List<Long>, List<BorrowedTarget>> byLender = new LinkedHashMap<>();
        for (BorrowedTarget loan : loans) {
            mBorrower.remove(loan);
            Target target = mTerm.targets().get(loan.target());
            if (target != null && target.loan().filter(own -> own == loan).isPresent()) {
                mTerm.targets().remove(loan.target());
            }
            mTerm.log(
                    Decision.target(
                            "loan-return",
                            loan.target(),
                            "cell="
                                    + loan.lenderCell()
                                    + " left_ms="
                                    + (loan.endMs() - mTerm.nowMs()),
                            "returned"));
            List<Long> lender = List.of((long) loan.lenderCell(), loan.lenderFence());
            byLender.computeIfAbsent(lender, key -> new ArrayList<>()).add(loan);
        }
        byLender.values().forEach(this::sendReturn);
    }

    private void sendReturn(List<BorrowedTarget> loans) {
        BorrowedTarget first = loans.get(0);
        send(
                mDirectory.controller(first.lenderCell(), first.lenderFence()),
                new CellMessage.LoanReturn(
                        mCell,
                        mTerm.fence(),
                        first.lenderFence(),
                        loans.stream().map(BorrowedTarget::loan).toList()));
    }

    /** Returns what is idle at the end of the term; the lender waits for the rest. */
    void termEnds() {
        List<BorrowedTarget> idle = new ArrayList<>();
        for (BorrowedTarget loan : mBorrower.loans()) {
            Target target = mTerm.targets().get(loan.target());
            if (target != null && !target.busy()) {
                idle.add(loan);
            }
        }
        giveBack(idle);
    }

    /** Sends a message, unless the receiver's term is over as far as is known. */
    private void send(Optional<LenderDirectory.Lender> to, CellMessage message) {
        to.ifPresent(
                one -> mTerm.emit(new CellAction.SendLoan(one.address(), one.cell(), message)));
    }

    private void logLoan(String what, TargetLoan loan, int cell, String inputs, String outcome) {
        String all = "cell=" + cell + " loan=" + loan.id() + " " + inputs;
        mTerm.log(Decision.target(what, loan.target(), all, outcome));
    }
}
