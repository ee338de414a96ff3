package org.boragegap.core.cell;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * Guards against a queue that starves, or whose largest jobs starve, while another one bursts to
 * several times its rate. The order by latest start and the refusal by expected wait keep the loss
 * with the queue that bursts, without shares for the queues; both policies are tested.
 */
final class QueueFairnessTest {
    private static final long LENGTH_MS = 34_000;
    private static final double LOAD = 1.3;

    /** The queue that bursts alone demands more than the cell can serve. */
    private static final double BURST = 12;

    private static void testBurst(HardLoad load, int bursting) {
        List<LoadSimulation.Arrival> arrivals = load.burstOf(bursting, BURST, 1, LOAD, LENGTH_MS);
        for (boolean bySpeed : new boolean[] {false, true}) {
            LoadSimulation cell =
                    new LoadSimulation(
                            load.site(),
                            new CellSettings(1_000, 2, bySpeed),
                            arrivals,
                            LENGTH_MS,
                            LoadSimulation.LostOrders.none());
            LoadSimulation.Score score = cell.simulate();
            assertThat(cell.violations()).isEmpty();
            LoadSimulation.Kind burst = load.kind(bursting);
            for (int queue = 0; queue < 3; queue++) {
                LoadSimulation.Kind kind = load.kind(queue);
                double inTime = score.inTimeShare(kind);
                double largest = score.largestInTimeShare(kind);
                System.out.printf(
                        "%s, burst of queue %d, by speed %b, queue %d: %.3f, largest tenth %.3f%n",
                        load, bursting, bySpeed, queue, inTime, largest);
                assertThat(largest).isAtLeast(0.5 * inTime);
                assertThat(inTime).isAtLeast(score.inTimeShare(burst));
            }
        }
    }

    @Nested
    final class SpeedsFarApart {
        @Test
        void burstOfShortJobs() {
            testBurst(HardLoad.A, 0);
        }

        @Test
        void burstOfNarrowJobs() {
            testBurst(HardLoad.A, 1);
        }

        @Test
        void burstOfLongJobs() {
            testBurst(HardLoad.A, 2);
        }
    }

    @Nested
    final class SpeedsCloserTogether {
        @Test
        void burstOfShortJobs() {
            testBurst(HardLoad.B, 0);
        }

        @Test
        void burstOfNarrowJobs() {
            testBurst(HardLoad.B, 1);
        }

        @Test
        void burstOfLongJobs() {
            testBurst(HardLoad.B, 2);
        }
    }
}
