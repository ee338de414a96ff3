package org.boragegap.core.dispatch;

import java.util.List;
import org.boragegap.core.limit.QueueOrder;
import org.boragegap.core.placement.PlacementPolicy;

/**
 * Settings of a dispatcher.
 *
 * @param domain this VM's failure domain
 * @param domains all configured failure domains; an id that names none is assigned to one of them
 * @param placement policy for the choice of a target
 * @param order order of the queue
 * @param maxQueuedTasks maximum number of tasks that wait for a target
 * @param refuseHopeless whether a submission that can't meet its deadline is rejected at once
 * @param answerKeepMs how long an answer is kept for a resubmission
 * @param startGraceMs how long after the placement decision a task may still be sent
 * @param retriesPerFirstTry retries that each first attempt adds to the retry budget
 * @param maxSavedRetries maximum number of retries in the retry budget
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

    /** Settings with the default policies. */
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
