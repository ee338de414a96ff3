package org.boragegap.core.cell;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * At an ordinary load some of the orders to targets get no answer for a while, and are carried out
 * seconds later. Callers were refused or late although the targets had room: a start without an
 * answer held its room for half a second, a lease call without one hid all ends on its target for
 * as long, and sound runs whose end was not heard of were stopped as stuck.
 *
 * <p>The load is half of what the targets can do, as on a quiet day. A share of 0.055 is what the
 * deployments name; a tenth and two fifths are what any deployment may see.
 */
final class LostOrdersTest {
    private static final double JOBS_PER_S = 60;
    private static final long LENGTH_MS = 12_000;
    private static final long FROM_MS = LoadSimulation.ARRIVALS_START_MS + 2_000;

    private static double inTime(double share) {
        List<LoadSimulation.Arrival> arrivals = LoadSimulation.arrivals(11, JOBS_PER_S, LENGTH_MS);
        LoadSimulation.LostOrders lost =
                new LoadSimulation.LostOrders(
                        share, FROM_MS, LoadSimulation.ARRIVALS_START_MS + LENGTH_MS);
        LoadSimulation cell = new LoadSimulation(arrivals, LENGTH_MS, lost);
        double inTime = cell.simulate().inTimeShare();
        System.out.printf("orders lost %.3f: in time %.2f%n", share, inTime);
        assertThat(cell.violations()).isEmpty();
        return inTime;
    }

    /**
     * It is 0.91 here; over three other seeds 0.92, and 0.72 with timeouts of 250 ms throughout.
     */
    @Test
    void aTenthOfTheOrdersLostLeavesMostInTime() {
        assertThat(inTime(0.1)).isAtLeast(0.85);
    }

    /** No cliff: each doubling of the loss costs at most half of the service. */
    @Test
    void serviceFallsSmoothlyWithTheShareLost() {
        double[] shares = {0, 0.02, 0.055, 0.1, 0.2, 0.4};
        double before = inTime(shares[0]);
        for (int i = 1; i < shares.length; i++) {
            double now = inTime(shares[i]);
            assertThat(now).isAtLeast(0.5 * before);
            before = now;
        }
    }
}
