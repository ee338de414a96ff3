package org.boragegap.core.cell;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/**
 * Late answers on a deployment of hundreds of VMs though none had much to do: each cell's
 * controller told all VMs seven times a second that it was there, and they answered. What one VM
 * hears and sends must not grow with the number of cells and VMs. Sizes: the small deployments (9
 * VMs, one cell), the larger ones (47 VMs, 8 cells), a sweep's (300 VMs, 31 cells), and twice that.
 */
final class HeartbeatTimingTest {
    private static final int STRONG = 1_500;
    private static final int USUAL = 750;
    private static final int TINY = 120;

    private static double receivedPerS(int cells, int peers, int cpuMillis) {
        return 1_000.0 * cells / HeartbeatTiming.periodMs(cells, peers, cpuMillis, 0);
    }

    private static double sentPerS(int cells, int peers, int cpuMillis) {
        return 1_000.0 * peers / HeartbeatTiming.periodMs(cells, peers, cpuMillis, 0);
    }

    @Test
    void aSmallDeploymentNoticesALostControllerWithinHalfASecond() {
        assertThat(HeartbeatTiming.periodMs(1, 8, USUAL, 0)).isEqualTo(150);
        assertThat(HeartbeatTiming.periodMs(6, 46, STRONG, 0)).isEqualTo(150);
        assertThat(new HeartbeatTiming().lostAfterMs()).isEqualTo(500);
    }

    @Test
    void heartbeatsReceivedDoNotGrowWithTheDeployment() {
        assertThat(receivedPerS(31, 299, STRONG)).isAtMost(41);
        assertThat(receivedPerS(62, 599, STRONG)).isAtMost(41);
    }

    @Test
    void heartbeatsSentDependOnTheProcessorAlone() {
        assertThat(sentPerS(31, 299, USUAL)).isAtMost(190);
        assertThat(sentPerS(62, 599, USUAL)).isAtMost(190);
        assertThat(sentPerS(2, 17, TINY)).isAtMost(31);
    }

    @Test
    void aStalledControllerAnnouncesALongerPeriod() {
        assertThat(HeartbeatTiming.periodMs(1, 8, USUAL, 430)).isEqualTo(430);
    }

    /** Ticks wake an idle VM; they must not put off by much when it misses its controller. */
    @Test
    void anIdleVmTicksThreeTimesAPeriodAndAtLeastTenTimesASecond() {
        HeartbeatTiming pace = new HeartbeatTiming();
        assertThat(pace.tickMs()).isEqualTo(50);
        pace.periodAnnounced(200);
        assertThat(pace.tickMs()).isEqualTo(66);
        pace.periodAnnounced(2_600);
        assertThat(pace.tickMs()).isEqualTo(100);
    }

    /** It stood still for four seconds once; when it is lost, callers must not wait for longer. */
    @Test
    void aLongStallDoesNotDelayLossDetection() {
        HeartbeatTiming pace = new HeartbeatTiming();
        pace.periodAnnounced(HeartbeatTiming.periodMs(1, 8, USUAL, 4_000));
        assertThat(pace.lostAfterMs()).isEqualTo(2_000);
    }
}
