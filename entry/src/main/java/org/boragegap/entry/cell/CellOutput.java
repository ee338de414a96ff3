package org.boragegap.entry.cell;

import org.boragegap.core.cell.CellAction;
import org.boragegap.core.cell.CellMessage;
import org.boragegap.core.cell.EntryAction;

/** What the control state may cause outside its thread; nothing here blocks. */
interface CellOutput {
    /** Sends a message to another entry VM. */
    void send(String address, CellMessage message);

    /** Calls a target to extend its lease. */
    void extend(CellAction.ExtendLease order);

    /** Orders a start. */
    void start(CellAction.StartRun order);

    /** Orders a stop. */
    void stop(CellAction.StopRun order);

    /** Answers a waiting caller. */
    void reply(EntryAction.Reply reply);

    /** Begins or ends following the platform's list of targets. */
    void watchTargets(boolean follow);

    /** Reads at once who is in the group. */
    void readMembers();

    /** Joins the group again at once, so that the store can go on dealing. */
    void rejoin();
}
