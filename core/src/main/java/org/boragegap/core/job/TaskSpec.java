package org.boragegap.core.job;

/**
 * One task of a submission as the caller declared it.
 *
 * @param index position in the submission, from 0
 * @param need declared resources
 * @param expectedMs declared run time in milliseconds
 * @param payload passed to the target unchanged
 */
public record TaskSpec(int index, Resources need, long expectedMs, String payload) {}
