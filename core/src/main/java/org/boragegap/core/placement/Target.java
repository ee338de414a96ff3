package org.boragegap.core.placement;

import org.boragegap.core.job.Resources;

/**
 * A worker or a minion.
 *
 * @param address {@code host:port} of its HTTP listener
 * @param role what kind of work it runs
 * @param service service of a minion, empty for a worker
 * @param capacity resources of a worker; {@link Resources#NONE} for a minion
 * @param slots how many tasks it runs at once
 */
public record Target(String address, Role role, String service, Resources capacity, int slots) {

    /** Service name that stands for all workers. */
    public static final String WORKERS = "";
}
