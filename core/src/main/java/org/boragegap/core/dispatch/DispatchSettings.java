package org.boragegap.core.dispatch;

import java.util.List;
import org.boragegap.core.limit.QueueOrder;
import org.boragegap.core.placement.PlacementPolicy;

/**
 * What a dispatcher is told at its start.
 *
 * @param domain this VM's failure domain
 * @param domains all configured failure domains; ids that name none find their home among them
 * @param placement choice among targets
 * @param order order of the queue
 * @param maxQueuedTasks most tasks that wait for a target
 * @param refuseHopeless whether work that can't make its deadline is refused at once
 * @param answerKeepMs how long an answer is kept for a resubmission
 * @param startGraceMs how long after the decision a task may still be sent
 * @param retriesPerFirstTry retries earned by one first try
 * @param maxSavedRetries most retries saved up
 */
public record DispatchSettings(
        String domain,
        List<String> domains,
        PlacementPolicy placement,
        QueueOrder order,
        int maxQueuedTasks,
        boolean refuseHopeless,
        long answerKeepMs,
        long startGraceMs,
        double retriesPerFirstTry,
        double maxSavedRetries) {

    /** Settings with the usual policies. */
    public static DispatchSettings defaults(String domain, List<String> domains) {
        return new DispatchSettings(
                domain,
                domains,
                PlacementPolicy.POWER_OF_TWO,
                QueueOrder.FAIR,
                20_000,
                true,
                60_000,
                1_000,
                0.1,
                10);
    }
}
