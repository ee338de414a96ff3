package org.boragegap.core.cell;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.boragegap.core.loan.LenderDirectory;
import org.junit.jupiter.api.BeforeEach;

/** Two scripted cells, of which one can lend a target to the other; base of tests of loans. */
abstract class TwoLendingCells {
    static final int LENDER = 0;
    static final int BORROWER = 1;
    static final long LENDER_FENCE = 7;
    static final long BORROWER_FENCE = 3;
    static final TargetInfo FIRST = ScriptedCell.target("t1", "x:1", "a", 2_000);
    static final TargetInfo SECOND = ScriptedCell.target("t2", "x:2", "a", 2_000);
    static final TargetInfo OWN = ScriptedCell.target("t3", "x:3", "b", 1_000);

    /** When a loan that was requested at 40 ms ends. */
    static final long LOAN_END_MS = 2_040;

    /** When a lender has a target back that it lent at 41 ms, if nobody returns it. */
    static final long TAKEN_BACK_MS = 41 + 2_000 + 1_121 + 1;

    final LenderDirectory mDirectory = LenderDirectory.create();
    final ScriptedCell mLender = new ScriptedCell();
    final ScriptedCell mBorrower = new ScriptedCell();
    int mLenderSent;
    int mBorrowerSent;

    static String job(int cell, int number) {
        return IntStream.iterate(100 * number, n -> n + 1)
                .mapToObj(n -> String.format("%016x", n))
                .filter(id -> CellLayout.ofCells(2).cellOfJob(id) == cell)
                .findFirst()
                .orElseThrow();
    }

    @BeforeEach
    void begin() {
        mLender.lendAndBorrow(LENDER, mDirectory);
        mBorrower.lendAndBorrow(BORROWER, mDirectory);
        mLender.evacuate(0);
        mBorrower.evacuate(0);
        mLender.begin(0, LENDER_FENCE, FIRST, SECOND);
        mLender.listed(5, FIRST, SECOND);
        mBorrower.begin(0, BORROWER_FENCE, OWN);
        mBorrower.listed(5, OWN);
        // Settles the terms.
        mLender.offer(6, job(LENDER, 1), 1);
        mBorrower.offer(6, job(BORROWER, 9), 1);
        mLender.on(30, new CellEvent.Ticked());
        mBorrower.on(30, new CellEvent.Ticked());
        endRun(mLender, 35, mLender.starts().get(0), 1);
        endRun(mBorrower, 35, mBorrower.starts().get(0), 1);
        mLender.clearActions();
        mBorrower.clearActions();
        hear(LENDER, LENDER_FENCE, mLender);
        hear(BORROWER, BORROWER_FENCE, mBorrower);
    }

    void hear(int cell, long fence, ScriptedCell controller) {
        int idle = controller.controller().lendableTargets();
        mDirectory.heard(new LenderDirectory.Lender(cell, "vm" + cell, fence, idle, 35));
    }

    /** The target confirms a start and reports that the run has ended. */
    static void endRun(ScriptedCell cell, long ms, CellAction.StartRun start, long end) {
        cell.acceptStart(ms, start);
        cell.report(ms, start.target().id(), List.of(), List.of(ended(start, end)));
    }

    static TargetReport.EndedRun ended(CellAction.StartRun start, long end) {
        return new TargetReport.EndedRun(end, start.task(), start.run(), EndCause.DONE);
    }

    static TargetReport.ActiveRun active(CellAction.StartRun start) {
        return new TargetReport.ActiveRun(start.task(), start.run(), 50);
    }

    /** Delivers the messages that a cell has sent to the other one; returns them. */
    List<CellMessage> deliver(long ms, boolean fromLender) {
        ScriptedCell to = fromLender ? mBorrower : mLender;
        List<CellMessage> sent = loseMessages(fromLender);
        String address = fromLender ? "vm0" : "vm1";
        sent.forEach(message -> to.on(ms, new CellEvent.LoanMessageReceived(address, message)));
        return sent;
    }

    List<CellMessage> loseMessages(boolean fromLender) {
        ScriptedCell from = fromLender ? mLender : mBorrower;
        List<CellMessage> all =
                from.actions(CellAction.SendLoan.class).stream()
                        .map(CellAction.SendLoan::message)
                        .toList();
        int known = fromLender ? mLenderSent : mBorrowerSent;
        if (fromLender) {
            mLenderSent = all.size();
        } else {
            mBorrowerSent = all.size();
        }
        return new ArrayList<>(all.subList(known, all.size()));
    }

    /** The borrower's only target is full, so that it borrows one; returns the lent target's id. */
    String lend() {
        mBorrower.offer(40, job(BORROWER, 1), 2);
        deliver(41, false);
        CellMessage.LoanGrant grant = (CellMessage.LoanGrant) deliver(43, true).get(0);
        assertThat(grant.targets()).hasSize(1);
        return grant.targets().get(0).target().id();
    }

    /** Lends a target, and starts the borrower's second task there. */
    CellAction.StartRun lendAndStart() {
        String lent = lend();
        mBorrower.report(45, lent, List.of(), List.of());
        CellAction.StartRun start = mBorrower.starts().get(1);
        assertThat(start.target().id()).isEqualTo(lent);
        mBorrower.acceptStart(47, start);
        return start;
    }

    List<CellAction> ordersTo(ScriptedCell cell, String target) {
        return Stream.of(
                        CellAction.ExtendLease.class,
                        CellAction.StartRun.class,
                        CellAction.StopRun.class)
                .flatMap(kind -> cell.actions(kind).stream())
                .map(CellAction.class::cast)
                .filter(order -> Orders.target(order).id().equals(target))
                .toList();
    }

    static String other(String target) {
        return target.equals("t1") ? "t2" : "t1";
    }

    /** The borrower's own target reports its run until the given time; the lent one is silent. */
    void ticksOfBorrower(long fromMs, long untilMs) {
        CellAction.StartRun own = mBorrower.starts().get(0);
        for (long ms = fromMs; ms <= untilMs; ms += 10) {
            mBorrower.on(ms, new CellEvent.Ticked());
            mBorrower.report(ms, OWN.id(), List.of(active(own)), List.of());
        }
    }
}
