package org.boragegap.core.cell;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.PriorityQueue;
import org.junit.jupiter.api.Test;

/**
 * Guards against a collapse under overload, as when a registration period opens: for 20 s, jobs
 * arrive at one and a half times the rate that the targets can serve. There are three kinds: many
 * narrow jobs of 200 ms, wide ones of 60 ms with tight objectives, and a few long ones of 900 ms.
 * Without refusals the queue grows, each job waits for all jobs ahead of it, and finally no job
 * meets its objective. Widths, run times, rates and objectives are those of the smaller deployment:
 * 32 targets that hold two or three tasks each; estimates are off by up to 40%.
 */
final class OverloadTest {
    private static final double JOBS_PER_S = 151;
    private static final long LENGTH_MS = 20_000;
    private static final double[] SPEEDS = {0.8, 1.0, 1.25};

    /** Serves the same arrivals on the same slots in arrival order, without refusals. */
    private static LoadSimulation.Score firstComeFirstServed(
            List<LoadSimulation.Arrival> arrivals) {
        PriorityQueue<double[]> slots = new PriorityQueue<>(Comparator.comparingDouble(s -> s[0]));
        for (int i = 0; i < 32; i++) {
            for (int slot = 0; slot < (i % 3 == 2 ? 3 : 2); slot++) {
                slots.add(new double[] {0, SPEEDS[i % 3]});
            }
        }
        LoadSimulation.Score score = new LoadSimulation.Score();
        Deque<LoadSimulation.Arrival> queue = new ArrayDeque<>(arrivals);
        while (!queue.isEmpty()) {
            LoadSimulation.Arrival arrival = queue.poll();
            double endMs = 0;
            for (int task = 0; task < arrival.width(); task++) {
                double[] slot = slots.poll();
                slot[0] = Math.max(slot[0], arrival.atMs()) + arrival.workMs() / slot[1];
                endMs = Math.max(endMs, slot[0]);
                slots.add(slot);
            }
            score.add(arrival, endMs - arrival.atMs() <= arrival.objectiveMs());
        }
        return score;
    }

    @Test
    void mostIsInTimeAndNoKindStarves() {
        List<LoadSimulation.Arrival> arrivals = LoadSimulation.arrivals(7, JOBS_PER_S, LENGTH_MS);
        LoadSimulation.Score baseline = firstComeFirstServed(arrivals);
        LoadSimulation cell =
                new LoadSimulation(arrivals, LENGTH_MS, LoadSimulation.LostOrders.none());
        LoadSimulation.Score score = cell.simulate();
        System.out.printf(
                "overload: in time %.2f, worst kind %.2f; first come first served %.2f, %.2f%n",
                score.inTimeShare(),
                score.worstInTimeShare(),
                baseline.inTimeShare(),
                baseline.worstInTimeShare());
        assertThat(cell.violations()).isEmpty();
        assertThat(score.inTimeShare()).isAtLeast(0.8);
        assertThat(score.worstInTimeShare()).isAtLeast(0.7);
        assertThat(score.inTimeShare()).isAtLeast(2 * baseline.inTimeShare());
    }
}
