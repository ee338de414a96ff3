package org.boragegap.core.cell;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Remembers a value for each recent job for a limited time. A caller may return after its job has
 * been dropped and must not be told that the job never ran.
 *
 * @param <T> type of the remembered value
 */
final class RecentJobs<T> {
    /** How long a job is remembered, in ms; callers return within seconds. */
    static final long RETENTION_MS = 60_000;

    /** Maximum number of remembered jobs. */
    static final int MAX_JOBS = 20_000;

    private record Entry<T>(T value, long atMs) {}

    private final Map<String, Entry<T>> mEntries = new LinkedHashMap<>();

    /**
     * Remembers a value for the job, replacing any earlier one, and evicts expired and excess
     * entries.
     */
    void remember(String job, T value, long nowMs) {
        // Removed first, because replacing the value would keep the entry's old insertion order.
        mEntries.remove(job);
        mEntries.put(job, new Entry<>(value, nowMs));
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
