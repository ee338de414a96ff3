package org.boragegap.app;

import org.boragegap.core.job.Resources;

/**
 * Size and policies of an embedded deployment.
 *
 * @param entries entry VMs
 * @param workers workers
 * @param minions minions
 * @param minionSlots requests that a minion serves at once
 * @param worker what a worker has
 * @param settings more lines of settings for each entry VM
 */
record DeploymentShape(
        int entries, int workers, int minions, int minionSlots, Resources worker, String settings) {
    private static final Resources QUICKSTART_WORKER = new Resources(16_000, 32_768, 2);

    static DeploymentShape quickstart() {
        return new DeploymentShape(2, 4, 4, 8, QUICKSTART_WORKER, "");
    }

    /** One entry VM and minions with slots to spare, to measure what the way through it costs. */
    static DeploymentShape path(int slots) {
        String settings = "[limits]\nconnections_per_target = 1024";
        return new DeploymentShape(1, 1, 1, slots, QUICKSTART_WORKER, settings);
    }

    /** A failure domain of today's size. */
    static DeploymentShape load(String settings) {
        return new DeploymentShape(3, 10, 10, 8, QUICKSTART_WORKER, settings);
    }
}
