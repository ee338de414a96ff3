package org.boragegap.app;

import org.boragegap.core.job.Resources;

/**
 * Size and settings of an embedded deployment.
 *
 * @param entryVms number of entry VMs
 * @param workers number of workers
 * @param minions number of minions
 * @param minionSlots requests that a minion serves concurrently
 * @param workerCapacity resources of each worker
 * @param extraSettings lines added to the settings of each entry VM
 */
record DeploymentSpec(
        int entryVms,
        int workers,
        int minions,
        int minionSlots,
        Resources workerCapacity,
        String extraSettings) {
    private static final Resources QUICKSTART_WORKER = new Resources(16_000, 32_768, 2);

    static DeploymentSpec quickstart() {
        return new DeploymentSpec(2, 4, 4, 8, QUICKSTART_WORKER, "");
    }

    /** One entry VM and one minion with spare slots, to measure the overhead of the entry VM. */
    static DeploymentSpec path(int slots) {
        String settings = "[limits]\nconnections_per_target = 1024";
        return new DeploymentSpec(1, 1, 1, slots, QUICKSTART_WORKER, settings);
    }

    /** A failure domain of the size that is usual today. */
    static DeploymentSpec load(String settings) {
        return new DeploymentSpec(3, 10, 10, 8, QUICKSTART_WORKER, settings);
    }
}
