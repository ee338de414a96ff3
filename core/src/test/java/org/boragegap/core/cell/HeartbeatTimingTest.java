package org.boragegap.core.cell;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/**
 * Guards against late answers in a deployment of hundreds of mostly idle VMs: each cell's
 * controller sent heartbeats to all VMs seven times a second, and they replied. What one VM
 * receives and sends must not grow with the number of cells and VMs. Sizes: small deployments (9
 * VMs, one cell), larger ones (47 VMs, 8 cells), a sweep (300 VMs, 31 cells), and twice that.
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

    /**
     * Guards against weak VMs that spend a seventh of their processor on heartbeats: 30 VMs, most
     * of them with a quarter of a core, used a quarter of the CPU time of a day while they waited.
     */
    @Test
    void weakVmsReceiveFewerHeartbeats() {
        assertThat(5_000.0 / HeartbeatTiming.weakReceiverPeriodMs(5, 270)).isAtMost(15.1);
        assertThat(HeartbeatTiming.weakReceiverPeriodMs(5, STRONG)).isAtMost(150);
        assertThat(HeartbeatTiming.weakReceiverPeriodMs(1, USUAL)).isAtMost(150);
    }

    /** A candidate must be found before the group drops a lost controller, after a second. */
    @Test
    void weakReceiversDelayNoTerm() {
        HeartbeatTiming pace = new HeartbeatTiming();
        pace.periodAnnounced(HeartbeatTiming.weakReceiverPeriodMs(60, TINY));
        assertThat(pace.missingAfterMs() + pace.tickMs()).isLessThan(1_000);
    }

    @Test
    void aStalledControllerAnnouncesALongerPeriod() {
        assertThat(HeartbeatTiming.periodMs(1, 8, USUAL, 430)).isEqualTo(430);
    }

    /**
     * Ticks wake an idle VM, so there should be few, but enough to notice the loss of its
     * controller without much delay.
     */
    @Test
    void anIdleVmTicksThreeTimesAPeriodAndAtLeastTenTimesASecond() {
        HeartbeatTiming pace = new HeartbeatTiming();
        assertThat(pace.tickMs()).isEqualTo(50);
        pace.periodAnnounced(200);
        assertThat(pace.tickMs()).isEqualTo(66);
        pace.periodAnnounced(2_600);
        assertThat(pace.tickMs()).isEqualTo(100);
    }

    /**
     * A controller that was once stalled for four seconds announces a longer period. When it is
     * lost, callers must not have to wait for longer than two seconds until this is noticed.
     */
    @Test
    void aLongStallDoesNotDelayLossDetection() {
        HeartbeatTiming pace = new HeartbeatTiming();
        pace.periodAnnounced(HeartbeatTiming.periodMs(1, 8, USUAL, 4_000));
        assertThat(pace.lostAfterMs()).isEqualTo(2_000);
    }
}
