package org.boragegap.core.dispatch;

import org.boragegap.core.placement.Target;
import org.boragegap.core.placement.TargetState;

/**
 * The state of a target as seen by this VM, for a dump.
 *
 * @param target the target
 * @param owned whether this VM owns the target and accounts for its capacity
 * @param running number of this VM's attempts that are running there
 * @param leaving whether the target is shutting down
 * @param quarantined whether the target gets only probes because of its failures
 */
public record TargetSummary(
        Target target, boolean owned, int running, boolean leaving, boolean quarantined) {

    static TargetSummary of(TargetState state, boolean owned) {
        return new TargetSummary(
                state.target(), owned, state.running(), state.leaving(), state.quarantined());
    }
}
