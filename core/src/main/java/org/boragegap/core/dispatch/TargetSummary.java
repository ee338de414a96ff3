package org.boragegap.core.dispatch;

import org.boragegap.core.placement.Target;
import org.boragegap.core.placement.TargetState;

/**
 * What this VM believes of a target.
 *
 * @param target the target
 * @param owned whether this VM places work there
 * @param running attempts of this VM running there
 * @param leaving whether it is going away
 * @param quarantined whether it gets only probes because of its failures
 */
public record TargetSummary(
        Target target, boolean owned, int running, boolean leaving, boolean quarantined) {

    static TargetSummary of(TargetState state, boolean owned) {
        return new TargetSummary(
                state.target(), owned, state.running(), state.leaving(), state.quarantined());
    }
}
