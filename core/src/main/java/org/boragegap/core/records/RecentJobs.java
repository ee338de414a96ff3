package org.boragegap.core.records;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Remembers a value for each recent job for a limited time. A caller may return after its job has
 * been dropped and must not be told that the job never ran.
 *
 * @param <T> type of the remembered value
 */
public final class RecentJobs<T> {
    /** How long a job is remembered, in ms; callers return within seconds. */
    public static final long RETENTION_MS = 60_000;

    /** Maximum number of remembered jobs. */
    public static final int MAX_JOBS = 20_000;

    private record Entry<T>(T value, long atMs) {}

    private final Map<String, Entry<T>> mEntries = new LinkedHashMap<>();
    private long mEvictedMs = Long.MIN_VALUE;

    /**
     * Remembers a value for the job, replacing any earlier one, and evicts expired and excess
     * entries.
     */
    public void remember(String job, T value, long nowMs) {
        // Removed first, because replacing the value would keep the entry's old insertion order.
        mEntries.remove(job);
        mEntries.put(job, new Entry<>(value, nowMs));
        Iterator<Entry<T>> entries = mEntries.values().iterator();
        Entry<T> oldest = entries.next();
        while (isExpired(oldest, nowMs) || mEntries.size() > MAX_JOBS) {
            mEvictedMs = oldest.atMs();
            entries.remove();
            oldest = entries.next();
        }
    }

    /**
     * Time of the latest entry that was evicted; {@code Long.MIN_VALUE} if there is none. All later
     * entries are kept.
     */
    public long evictedMs() {
        return mEvictedMs;
    }

    /** Number of remembered jobs, including expired ones that are not evicted yet. */
    public int size() {
        return mEntries.size();
    }

    /** Jobs remembered at or after a time, whose value matches, oldest first. */
    public List<String> since(long sinceMs, Predicate<T> condition) {
        List<String> jobs = new ArrayList<>();
        mEntries.forEach(
                (job, entry) -> {
                    if (entry.atMs() >= sinceMs && condition.test(entry.value())) {
                        jobs.add(job);
                    }
                });
        return jobs;
    }

    /** The value remembered for the job; empty if there is none or it has expired. */
    public Optional<T> find(String job, long nowMs) {
        return Optional.ofNullable(mEntries.get(job))
                .filter(entry -> !isExpired(entry, nowMs))
                .map(Entry::value);
    }

    private boolean isExpired(Entry<T> entry, long nowMs) {
        return nowMs - entry.atMs() > RETENTION_MS;
    }
}
