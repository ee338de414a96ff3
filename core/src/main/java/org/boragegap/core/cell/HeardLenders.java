package org.boragegap.core.cell;

import java.util.Optional;
import org.boragegap.core.ClockReading;
import org.boragegap.core.loan.LenderDirectory;

/** Tells this VM's members of other cells who controls this cell and what it would lend. */
final class HeardLenders {
    private final int mCell;
    private Optional<LenderDirectory> mDirectory = Optional.empty();

    HeardLenders(int cell) {
        mCell = cell;
    }

    void recordIn(LenderDirectory directory) {
        mDirectory = Optional.of(directory);
    }

    /** Records a heartbeat of the cell's controller. */
    void heard(String address, CellMessage.Heartbeat heartbeat, ClockReading clock) {
        LenderDirectory.Lender lender =
                new LenderDirectory.Lender(
                        mCell,
                        address,
                        heartbeat.fence(),
                        heartbeat.idleTargets(),
                        clock.monotonicMs());
        mDirectory.ifPresent(directory -> directory.heard(lender));
    }
}
