package org.boragegap.core.cell;

import java.util.List;
import java.util.SplittableRandom;

/**
 * Generates the jobs of a simulated history: one to three tasks of one core each, with inaccurate
 * estimates.
 */
final class FakeJobs {
    private FakeJobs() {}

    static JobRequest request(SplittableRandom random, int number) {
        int tasks = 1 + random.nextInt(3);
        long estimateMs = 50 + random.nextInt(600);
        StepRequest step = StepRequest.cpuOnly(tasks, FakePlatform.TASK_CPU, estimateMs);
        return new JobRequest(
                String.format("%016x", number),
                "queue" + estimateMs / 100,
                "service",
                0,
                3,
                1.6,
                500,
                "",
                List.of(step),
                1);
    }
}
