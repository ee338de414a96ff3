package org.boragegap.core.claim;

import java.nio.charset.StandardCharsets;
import org.apache.commons.codec.digest.MurmurHash3;

/**
 * A submission id reduced to 128 bits, the key under which claims are kept.
 *
 * @param high upper 64 bits of the hash
 * @param low lower 64 bits of the hash
 */
public record ClaimKey(long high, long low) {

    /** Hashes the id's text and creation time, which together identify the submission. */
    public static ClaimKey of(String id, long createdMs) {
        byte[] bytes = (id + '@' + createdMs).getBytes(StandardCharsets.UTF_8);
        long[] hash = MurmurHash3.hash128x64(bytes);
        return new ClaimKey(hash[0], hash[1]);
    }

    /**
     * Rendezvous weight of a member for this key; of two concurrent claims, the one whose holder
     * has the higher weight wins.
     */
    public long weight(Member member) {
        byte[] bytes = member.address().getBytes(StandardCharsets.UTF_8);
        long[] hash = MurmurHash3.hash128x64(bytes, 0, bytes.length, (int) low);
        return hash[0] ^ high;
    }
}
