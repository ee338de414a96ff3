package org.boragegap.core.dispatch;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** Which entry VMs the platform's list lacks, for each of its readers, though they may run. */
final class FakeVmList {
    private final Map<String, Set<String>> mOmittedByReader = new HashMap<>();
    private final Set<String> mRemoved = new HashSet<>();

    /** Leaves a VM out of the lists that the reader gets from now on. */
    void omit(String reader, String address) {
        mOmittedByReader.computeIfAbsent(reader, key -> new HashSet<>()).add(address);
    }

    /** Lists the VM for the reader again. */
    void restore(String reader, String address) {
        mOmittedByReader.getOrDefault(reader, new HashSet<>()).remove(address);
    }

    /** Leaves a VM out of all lists for good. */
    void remove(String address) {
        mRemoved.add(address);
    }

    boolean lists(String reader, String address) {
        return !mRemoved.contains(address)
                && !mOmittedByReader.getOrDefault(reader, Set.of()).contains(address);
    }
}
