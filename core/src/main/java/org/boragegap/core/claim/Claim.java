package org.boragegap.core.claim;

/**
 * What a member knows of one claimed submission.
 *
 * @param key the submission
 * @param holder the only member that may start its tasks
 * @param attempt the holder's attempt number; orders a release against a later claim
 * @param createdMs creation time of the id, wall clock
 * @param fingerprint hash of the submission's body; tells a resubmission from another body
 */
public record Claim(ClaimKey key, Member holder, long attempt, long createdMs, long fingerprint) {}
