package org.boragegap.entry;

import java.util.List;

/**
 * Body of a request that submits a job, or one request to a service.
 *
 * @param id id of the submission; optional
 * @param created when the id was made, milliseconds since the Unix epoch; only for ids that don't
 *     carry a time
 * @param team on whose behalf
 * @param kind kind of task
 * @param timeoutMs how long the answer is of use, from now
 * @param idempotent whether a request may be sent again after it may have run
 * @param async whether to answer 202 at once
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
     * @param expectedMs expected run time
     * @param payload handed to the worker as it is
     */
    record TaskBody(
            int cpuMillis, int memoryMb, int accelerators, long expectedMs, String payload) {}
}
