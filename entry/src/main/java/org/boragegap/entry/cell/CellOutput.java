package org.boragegap.entry.cell;

import org.boragegap.core.cell.CellAction;
import org.boragegap.core.cell.CellMessage;
import org.boragegap.core.cell.EntryAction;
import org.boragegap.core.cell.Membership;

/** Executes what the control state wants done outside its thread. No method blocks. */
interface CellOutput {
    /** Sends a message to another entry VM. */
    void send(String address, CellMessage message);

    /** Sends a message to the controller of another cell, which may be on this VM. */
    void sendToCell(String address, int cell, CellMessage message);

    /** Calls a target to extend its lease. */
    void extend(CellAction.ExtendLease order);

    /** Orders a start. */
    void start(CellAction.StartRun order);

    /** Orders a stop. */
    void stop(CellAction.StopRun order);

    /** Answers a waiting caller. */
    void reply(EntryAction.Reply reply);

    /** Starts or stops watching the platform's list of targets. */
    void watchTargets(boolean watch);

    /** Reads the list of the group's members at once. */
    void readMembers();

    /** Asks the group whether this VM has held the cell without a break. */
    void checkHold(Membership.HoldCheck check);

    /** Joins the group again at once, so that the store can continue to assign the cells. */
    void rejoin();
}
