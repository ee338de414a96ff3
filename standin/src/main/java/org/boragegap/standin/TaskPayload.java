package org.boragegap.standin;

/**
 * Payload of a task, which tells a stand-in what to simulate.
 *
 * @param runMs run time of the task, in ms
 * @param result result to return
 * @param cpuMillis CPU that it actually uses; 0 to use what the task declares
 */
public record TaskPayload(long runMs, String result, int cpuMillis) {}
