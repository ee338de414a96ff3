package org.boragegap.core.cell;

import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** What the steps of a job must not ask for, whoever sends it. */
final class StepRequestTest {
    private static StepRequest step(
            int count, int cpu, int memory, int accelerators, long estimateMs, int maxPerTarget) {
        return new StepRequest(
                count,
                cpu,
                memory,
                accelerators,
                estimateMs,
                List.of(),
                Optional.empty(),
                Optional.empty(),
                maxPerTarget);
    }

    private static void assertRejected(Runnable creates) {
        assertThrows(IllegalArgumentException.class, creates::run);
    }

    /** Guards against a target that gains room with each task that it is given. */
    @Test
    void needsAreNotNegative() {
        assertRejected(() -> step(1, -1, 0, 0, 0, 0));
        assertRejected(() -> step(1, 0, -1, 0, 0, 0));
        assertRejected(() -> step(1, 0, 0, -1, 0, 0));
    }

    /** Guards against a job that is done with nothing run, or runs against its limits. */
    @Test
    void countsAndLimitsMakeSense() {
        assertRejected(() -> step(0, 1, 0, 0, 0, 0));
        assertRejected(() -> step(1, 1, 0, 0, -1, 0));
        assertRejected(() -> step(1, 1, 0, 0, 0, -1));
    }

    /** Guards against a job that waits for itself. */
    @Test
    void stepsDependOnEarlierOnes() {
        StepRequest first = StepRequest.cpuOnly(1, 1, 1);
        for (int dependency : new int[] {-1, 1, 2}) {
            Optional<String> any = Optional.empty();
            StepRequest next = new StepRequest(1, 1, 0, 0, 0, List.of(dependency), any, any, 0);
            assertRejected(
                    () -> new JobRequest("a", "q", "s", 1, 1, 1, 0, "", List.of(first, next), 1));
        }
    }
}
