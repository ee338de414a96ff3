package org.boragegap.core.loan;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** The controllers of all cells that this VM has heard, with the targets that they would lend. */
public final class LenderDirectory {
    /** How long a heartbeat counts, in ms; a controller that is silent for longer may be lost. */
    private static final long VALID_MS = 1_500;

    /**
     * A controller that has advertised its idle targets.
     *
     * @param cell number of its cell
     * @param address peer address of its VM
     * @param fence fencing token of its term
     * @param idleTargets number of targets that it would lend
     * @param heardMs when it was heard
     */
    public record Lender(int cell, String address, long fence, int idleTargets, long heardMs) {}

    private final Map<Integer, Lender> mLenders = new HashMap<>();

    private LenderDirectory() {}

    /** Creates an empty directory. */
    public static LenderDirectory create() {
        return new LenderDirectory();
    }

    /** Records a heartbeat; one of an earlier term is ignored. */
    public void heard(Lender lender) {
        mLenders.merge(lender.cell(), lender, (old, now) -> now.fence() < old.fence() ? old : now);
    }

    /** The cell has granted nothing: it isn't asked again before its next heartbeat. */
    public void exhausted(int cell) {
        mLenders.computeIfPresent(
                cell, (key, old) -> new Lender(cell, old.address(), old.fence(), 0, old.heardMs()));
    }

    /** The controller of a cell, if this VM has heard it in this term of it. */
    public Optional<Lender> controller(int cell, long fence) {
        return Optional.ofNullable(mLenders.get(cell)).filter(known -> known.fence() == fence);
    }

    /** The cell with the most idle targets, other than {@code ownCell}. */
    public Optional<Lender> mostIdle(int ownCell, long nowMs) {
        Lender best = null;
        for (Lender lender : mLenders.values()) {
            boolean usable = lender.cell() != ownCell && nowMs - lender.heardMs() <= VALID_MS;
            int least = best == null ? 0 : best.idleTargets();
            if (usable && lender.idleTargets() > least) {
                best = lender;
            }
        }
        return Optional.ofNullable(best);
    }
}
