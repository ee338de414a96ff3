package org.boragegap.core.dispatch;

import org.boragegap.core.placement.Target;
import org.boragegap.core.placement.TargetState;

/**
 * The state of a target as seen by this VM, for a dump.
 *
 * @param target the target
 * @param owned whether this VM owns the target and accounts for its capacity
 * @param running number of slots that this VM accounts as in use, by its own attempts or lent to
 *     siblings; attempts on borrowed slots are not included
 * @param leaving whether the target is leaving the deployment
 * @param quarantined whether the target gets only probes because of its failures
 */
public record TargetSummary(
        Target target, boolean owned, int running, boolean leaving, boolean quarantined) {

    static TargetSummary of(TargetState state, boolean owned) {
        return new TargetSummary(
                state.target(), owned, state.running(), state.leaving(), state.quarantined());
    }
}
