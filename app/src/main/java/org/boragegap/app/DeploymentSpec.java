package org.boragegap.app;

import org.boragegap.core.job.Resources;

/**
 * Size and policies of an embedded deployment.
 *
 * @param entryVms entry VMs
 * @param workers workers
 * @param minions minions
 * @param minionSlots requests that a minion serves at once
 * @param workerCapacity what a worker has
 * @param extraSettings more lines of settings for each entry VM
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

    /** One entry VM and minions with slots to spare, to measure what the way through it costs. */
    static DeploymentSpec path(int slots) {
        String settings = "[limits]\nconnections_per_target = 1024";
        return new DeploymentSpec(1, 1, 1, slots, QUICKSTART_WORKER, settings);
    }

    /** A failure domain of today's size. */
    static DeploymentSpec load(String settings) {
        return new DeploymentSpec(3, 10, 10, 8, QUICKSTART_WORKER, settings);
    }
}
