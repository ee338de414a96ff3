package org.boragegap.standin;

/**
 * What a stand-in is told to do by a task's payload.
 *
 * @param runMs how long it runs
 * @param result what it answers
 * @param cpuMillis what it really uses; 0 for what was declared
 */
public record TaskPayload(long runMs, String result, int cpuMillis) {}
