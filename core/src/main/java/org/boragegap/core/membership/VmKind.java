package org.boragegap.core.membership;

import java.util.Optional;
import org.boragegap.core.placement.Role;

/** What runs on a VM. */
public enum VmKind {
    /** A process of this system. */
    ENTRY(null),
    /** A worker. */
    WORKER(Role.WORKER),
    /** A minion. */
    MINION(Role.MINION);

    private final Role mRole;

    VmKind(Role role) {
        mRole = role;
    }

    /** The role as a target, for VMs that are targets. */
    public Optional<Role> role() {
        return Optional.ofNullable(mRole);
    }
}
