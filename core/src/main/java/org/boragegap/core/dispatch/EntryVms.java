package org.boragegap.core.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.boragegap.core.membership.ListedVm;
import org.boragegap.core.membership.VmKind;

/**
 * The entry VMs that this one knows of, by failure domain.
 *
 * <p>The platform's list lags and may be out; what was last listed stays known, and a VM that could
 * not be reached is asked last.
 */
final class EntryVms {
    private static final long UNREACHABLE_BACKOFF_MS = 2_000;

    private final Map<String, List<String>> mByDomain = new HashMap<>();
    private final Map<String, Long> mUnreachableUntilMs = new HashMap<>();
    private final Map<String, Long> mUnlistedSinceMs = new HashMap<>();
    private int mNextIndex;

    void onListed(List<ListedVm> vms, long nowMs) {
        Set<String> before = new HashSet<>();
        mByDomain.values().forEach(before::addAll);
        mByDomain.clear();
        Set<String> listed = new HashSet<>();
        for (ListedVm vm : vms) {
            if (vm.kind() == VmKind.ENTRY) {
                listed.add(vm.address());
            }
            if (vm.kind() == VmKind.ENTRY && !vm.leaving()) {
                mByDomain.computeIfAbsent(vm.domain(), name -> new ArrayList<>()).add(vm.address());
            }
        }
        before.removeAll(listed);
        for (String address : before) {
            mUnlistedSinceMs.putIfAbsent(address, nowMs);
        }
        mUnlistedSinceMs.keySet().removeAll(listed);
    }

    /** VMs that were listed once and have been missing from the list for a while. */
    Set<String> unlistedFor(long leastMs, long nowMs) {
        Set<String> gone = new HashSet<>();
        for (Map.Entry<String, Long> missing : mUnlistedSinceMs.entrySet()) {
            if (nowMs - missing.getValue() >= leastMs) {
                gone.add(missing.getKey());
            }
        }
        return gone;
    }

    void onUnreachable(String address, long nowMs) {
        mUnreachableUntilMs.put(address, nowMs + UNREACHABLE_BACKOFF_MS);
    }

    /** A VM of the domain other than those given, reachable ones first. */
    Optional<String> pick(String domain, Set<String> except, long nowMs) {
        List<String> candidates = new ArrayList<>();
        List<String> doubtful = new ArrayList<>();
        for (String address : mByDomain.getOrDefault(domain, List.of())) {
            if (except.contains(address)) {
                continue;
            }
            boolean doubted = mUnreachableUntilMs.getOrDefault(address, Long.MIN_VALUE) > nowMs;
            (doubted ? doubtful : candidates).add(address);
        }
        List<String> chosen = candidates.isEmpty() ? doubtful : candidates;
        if (chosen.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(chosen.get(Math.floorMod(mNextIndex++, chosen.size())));
    }

    Map<String, List<String>> byDomain() {
        return Map.copyOf(mByDomain);
    }

    /** All known entry VMs. */
    List<String> all() {
        return mByDomain.values().stream().flatMap(List::stream).toList();
    }
}
