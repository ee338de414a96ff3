package org.boragegap.core.cell;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Remembers something of each of the last jobs, for a while: after a job is no longer in hand, a
 * caller that comes back must not be told that it never ran.
 */
final class RecentJobs<T> {
    /** How long a job is remembered, in ms; callers come back within seconds. */
    static final long RETENTION_MS = 60_000;

    /** Most jobs that are remembered. */
    static final int MAX_JOBS = 20_000;

    private record Entry<T>(T value, long atMs) {}

    private final Map<String, Entry<T>> mEntries = new LinkedHashMap<>();

    /** Remembers the job from now on, in place of what was remembered of it before. */
    void remember(String job, T what, long nowMs) {
        // Taken out first: an entry that is written over would keep its place among the oldest.
        mEntries.remove(job);
        mEntries.put(job, new Entry<>(what, nowMs));
        Iterator<Entry<T>> oldest = mEntries.values().iterator();
        while (isExpired(oldest.next(), nowMs) || mEntries.size() > MAX_JOBS) {
            oldest.remove();
        }
    }

    Optional<T> find(String job, long nowMs) {
        return Optional.ofNullable(mEntries.get(job))
                .filter(entry -> !isExpired(entry, nowMs))
                .map(Entry::value);
    }

    void forget(String job) {
        mEntries.remove(job);
    }

    private boolean isExpired(Entry<T> entry, long nowMs) {
        return nowMs - entry.atMs() > RETENTION_MS;
    }
}
