package org.boragegap.core.dispatch;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.boragegap.core.membership.ListedVm;
import org.boragegap.core.membership.VmKind;

/**
 * The known entry VMs, by failure domain.
 *
 * <p>The platform's list lags and may be unavailable. The last list received stays in use, and a VM
 * that was recently unreachable is picked only if no other one is left.
 */
final class EntryVms {
    private static final long UNREACHABLE_BACKOFF_MS = 2_000;
    private static final long ABSENCE_KEPT_MS = 3_600_000;

    private final Map<String, List<String>> mByDomain = new HashMap<>();
    private final Map<String, Long> mUnreachableUntilMs = new HashMap<>();
    private final Map<String, Long> mUnlistedSinceMs = new HashMap<>();
    private final Set<String> mListed = new HashSet<>();
    private boolean mListRead;
    private long mFirstListMs;
    private long mLastListMs;
    private int mNextIndex;

    void onListed(List<ListedVm> vms, long nowMs) {
        if (!mListRead) {
            mListRead = true;
            mFirstListMs = nowMs;
        }
        mLastListMs = nowMs;
        mByDomain.clear();
        Set<String> before = Set.copyOf(mListed);
        mListed.clear();
        for (ListedVm vm : vms) {
            if (vm.kind() == VmKind.ENTRY) {
                mListed.add(vm.address());
            }
            if (vm.kind() == VmKind.ENTRY && !vm.leaving()) {
                mByDomain.computeIfAbsent(vm.domain(), name -> new ArrayList<>()).add(vm.address());
            }
        }
        for (String address : before) {
            mUnlistedSinceMs.putIfAbsent(address, nowMs);
        }
        mUnlistedSinceMs.keySet().removeAll(mListed);
        mUnlistedSinceMs.values().removeIf(sinceMs -> nowMs - sinceMs > ABSENCE_KEPT_MS);
    }

    /**
     * True when all lists of at least this long have lacked the VM, whether or not it was listed
     * before. Time after the last list doesn't count.
     */
    boolean unlistedFor(String address, long minMs) {
        if (!mListRead || mListed.contains(address)) {
            return false;
        }
        return mLastListMs - mUnlistedSinceMs.getOrDefault(address, mFirstListMs) >= minMs;
    }

    void onUnreachable(String address, long nowMs) {
        mUnreachableUntilMs.put(address, nowMs + UNREACHABLE_BACKOFF_MS);
    }

    /**
     * Picks a VM of the domain other than those given; prefers those that weren't recently
     * unreachable.
     */
    Optional<String> pick(String domain, Set<String> except, long nowMs) {
        List<String> candidates = new ArrayList<>();
        List<String> unreachable = new ArrayList<>();
        for (String address : mByDomain.getOrDefault(domain, List.of())) {
            if (except.contains(address)) {
                continue;
            }
            boolean recentlyUnreachable =
                    mUnreachableUntilMs.getOrDefault(address, Long.MIN_VALUE) > nowMs;
            (recentlyUnreachable ? unreachable : candidates).add(address);
        }
        List<String> chosen = candidates.isEmpty() ? unreachable : candidates;
        if (chosen.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(chosen.get(Math.floorMod(mNextIndex++, chosen.size())));
    }

    Map<String, List<String>> byDomain() {
        return Collections.unmodifiableSortedMap(new TreeMap<>(mByDomain));
    }

    List<String> all() {
        return mByDomain.values().stream().flatMap(List::stream).toList();
    }
}
