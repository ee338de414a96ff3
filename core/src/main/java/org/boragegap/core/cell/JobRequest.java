package org.boragegap.core.cell;

import java.util.List;

/**
 * A job as a caller handed it in, with what the configuration in force says of its queue.
 *
 * @param id chosen by the caller; the same id is the same job
 * @param queue name of the route on which it came
 * @param service whose targets run it
 * @param urgency 0 is the most urgent
 * @param maxAttempts failed runs of one task after which the job has failed
 * @param stretch the objective is this many times the longest chain of work, plus {@code
 *     objectiveBaseMs}
 * @param objectiveBaseMs see {@code stretch}
 * @param spec passed on to the targets as it is
 * @param steps what to run
 * @param configVersion version of the configuration that routed it
 */
public record JobRequest(
        String id,
        String queue,
        String service,
        int urgency,
        int maxAttempts,
        double stretch,
        long objectiveBaseMs,
        String spec,
        List<StepRequest> steps,
        long configVersion) {}
