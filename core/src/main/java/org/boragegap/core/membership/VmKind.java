package org.boragegap.core.membership;

import java.util.Optional;
import org.boragegap.core.placement.Role;

/** What runs on a VM. */
public enum VmKind {
    /** An entry VM, which runs a process of this system. */
    ENTRY(null),
    /** A worker. */
    WORKER(Role.WORKER),
    /** A minion. */
    MINION(Role.MINION);

    private final Role mRole;

    VmKind(Role role) {
        mRole = role;
    }

    /** The VM's role as a target; empty for an entry VM. */
    public Optional<Role> role() {
        return Optional.ofNullable(mRole);
    }
}
