package org.boragegap.entry;

import java.util.List;

/**
 * Body of a request that submits a job, or one request to a service.
 *
 * @param id id of the submission, or null if one is to be generated
 * @param created when the id was created, in milliseconds since the Unix epoch; only for ids that
 *     don't contain a time
 * @param team the team on whose behalf it is submitted
 * @param kind kind of task
 * @param timeoutMs how long the caller can use an answer, in milliseconds from the receipt of the
 *     request
 * @param idempotent whether a task may be sent to a target again after it may have run
 * @param async whether to reply 202 (Accepted) at once instead of waiting for the answer
 * @param tasks the tasks of a job
 * @param payload the payload of a request to a service
 */
record JobBody(
        String id,
        Long created,
        String team,
        String kind,
        Long timeoutMs,
        boolean idempotent,
        boolean async,
        List<TaskBody> tasks,
        String payload) {

    /**
     * One task.
     *
     * @param cpuMillis thousandths of a core
     * @param memoryMb memory in MiB
     * @param accelerators whole accelerators
     * @param expectedMs expected run time; 0 for the default
     * @param payload passed to the worker unchanged
     */
    record TaskBody(
            int cpuMillis, int memoryMb, int accelerators, long expectedMs, String payload) {}
}
