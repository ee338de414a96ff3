package org.boragegap.core.placement;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import org.apache.commons.codec.digest.MurmurHash3;

/**
 * Assigns names to VMs by rendezvous hashing, so that few names change their owner when a VM joins
 * or leaves.
 */
public final class Ownership {
    private Ownership() {}

    /** The owner of a name among the given candidates; empty when there are none. */
    public static Optional<String> owner(String name, List<String> candidates) {
        String best = null;
        long bestWeight = Long.MIN_VALUE;
        for (String candidate : candidates) {
            long weight = weight(name, candidate);
            if (best == null || weight > bestWeight) {
                best = candidate;
                bestWeight = weight;
            }
        }
        return Optional.ofNullable(best);
    }

    private static long weight(String name, String candidate) {
        byte[] bytes = (name + '|' + candidate).getBytes(StandardCharsets.UTF_8);
        return MurmurHash3.hash128x64(bytes)[0];
    }
}
