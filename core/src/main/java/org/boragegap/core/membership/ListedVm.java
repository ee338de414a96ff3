package org.boragegap.core.membership;

import org.boragegap.core.job.Resources;
import org.boragegap.core.placement.Target;

/**
 * A VM as given in the platform's list.
 *
 * @param address {@code host:port}: the peer address of an entry VM, the HTTP address of a target
 * @param domain its failure domain
 * @param kind what runs on it
 * @param service service of a minion, empty otherwise
 * @param leaving whether it is leaving the deployment
 * @param capacity resources of a worker
 * @param slots how many tasks a target runs at once
 */
public record ListedVm(
        String address,
        String domain,
        VmKind kind,
        String service,
        boolean leaving,
        Resources capacity,
        int slots) {

    /** This VM as a target; only for kinds that are targets. */
    public Target target() {
        return new Target(address, kind.role().orElseThrow(), service, capacity, slots);
    }
}
