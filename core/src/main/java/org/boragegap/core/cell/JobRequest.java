package org.boragegap.core.cell;

import java.util.List;

/**
 * A job as submitted by a caller, with the settings of its queue in the active configuration.
 *
 * @param id chosen by the caller; requests with the same id are the same job
 * @param queue name of the route that it arrived on
 * @param service service whose targets run it
 * @param urgency 0 is the most urgent
 * @param maxAttempts number of failed runs of one task after which the job fails
 * @param stretch the objective is this factor times the longest chain of steps, plus {@code
 *     objectiveBaseMs}
 * @param objectiveBaseMs constant part of the objective, in ms; see {@code stretch}
 * @param spec passed on to the targets unchanged
 * @param steps the steps to run
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
        long configVersion) {

    /** Rejects steps that depend on themselves or on later ones, which could never begin. */
    public JobRequest {
        for (int step = 0; step < steps.size(); step++) {
            for (int earlier : steps.get(step).dependsOn()) {
                if (earlier < 0 || earlier >= step) {
                    throw new IllegalArgumentException(
                            "step " + step + " depends on step " + earlier);
                }
            }
        }
    }
}
