package org.boragegap.core.claim;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The claims of one failure domain, in order of arrival, each kept for at least {@link
 * ClaimLimits#claimRetentionMs}.
 *
 * <p>If two members claim the same id concurrently, both claims are recorded: only those two
 * members know which claim won, and either of them may have started the tasks.
 */
final class ClaimTable {
    private record Entry(List<Claim> claims, long insertedMs) {}

    private final Map<ClaimKey, Entry> mEntries = new LinkedHashMap<>();

    List<Claim> find(ClaimKey key) {
        Entry entry = mEntries.get(key);
        return entry == null ? List.of() : entry.claims();
    }

    Optional<Claim> findHeldBy(ClaimKey key, Member holder) {
        return find(key).stream().filter(claim -> claim.holder().equals(holder)).findFirst();
    }

    /** Records a claim and replaces an earlier attempt by the same holder. */
    void put(Claim claim, long nowMs) {
        List<Claim> others = without(claim.key(), claim.holder());
        if (others.isEmpty()) {
            mEntries.put(claim.key(), new Entry(List.of(claim), nowMs));
            return;
        }
        List<Claim> claims = new ArrayList<>(others);
        claims.add(claim);
        mEntries.put(claim.key(), new Entry(List.copyOf(claims), nowMs));
    }

    void remove(ClaimKey key, Member holder) {
        Entry entry = mEntries.get(key);
        if (entry == null) {
            return;
        }
        List<Claim> others = without(key, holder);
        if (others.isEmpty()) {
            mEntries.remove(key);
        } else {
            mEntries.put(key, new Entry(others, entry.insertedMs()));
        }
    }

    private List<Claim> without(ClaimKey key, Member holder) {
        return find(key).stream().filter(claim -> !claim.holder().equals(holder)).toList();
    }

    int size() {
        return mEntries.size();
    }

    List<Claim> all() {
        List<Claim> claims = new ArrayList<>(mEntries.size());
        for (Entry entry : mEntries.values()) {
            claims.addAll(entry.claims());
        }
        return claims;
    }

    /**
     * Removes claims that arrived more than {@code keepMs} ago. Entries are in order of their first
     * insertion, so the scan stops at the first one that hasn't expired; entries behind one that
     * was updated later may stay longer.
     */
    void expire(long nowMs, long keepMs) {
        Iterator<Entry> entries = mEntries.values().iterator();
        while (entries.hasNext() && entries.next().insertedMs() + keepMs < nowMs) {
            entries.remove();
        }
    }
}
