package org.boragegap.core.cell;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Guards against refused or late jobs, although targets have capacity, when some orders at an
 * ordinary load get no answer and are carried out seconds later. There were three causes: an
 * unanswered start held its capacity for half a second; an unanswered lease call hid all ends on
 * its target for as long; and healthy runs whose end was not reported were stopped as stuck.
 *
 * <p>The load is half of the targets' capacity, as on a quiet day. A share of 0.055 lost orders is
 * specified for the deployments; a tenth and two fifths can occur in any deployment.
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
     * The share in time was 0.91 with this seed and 0.92 over three other seeds, and 0.72 with
     * timeouts of 250 ms throughout.
     */
    @Test
    void aTenthOfTheOrdersLostLeavesMostInTime() {
        assertThat(inTime(0.1)).isAtLeast(0.85);
    }

    /** The service degrades gradually: each doubling of the loss costs at most half of it. */
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
