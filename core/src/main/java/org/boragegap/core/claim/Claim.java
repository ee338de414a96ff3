package org.boragegap.core.claim;

/**
 * One claim of a submission by a member.
 *
 * @param key the submission
 * @param holder the only member that may start its tasks
 * @param attempt the holder's attempt number; a release of an earlier attempt doesn't remove a
 *     later claim
 * @param createdMs creation time of the id by the wall clock, milliseconds since the Unix epoch
 * @param fingerprint hash of the submission's body; tells a resubmission from another submission
 *     under the same id
 */
public record Claim(ClaimKey key, Member holder, long attempt, long createdMs, long fingerprint) {}
