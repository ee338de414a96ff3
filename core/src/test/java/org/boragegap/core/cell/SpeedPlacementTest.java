package org.boragegap.core.cell;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.boragegap.core.records.KnownRecords;
import org.boragegap.core.records.RecentJobs;
import org.boragegap.core.speed.CellSpeeds;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * Guards against long tasks that take slow targets, on which they end late, and against estimated
 * waits that count a slow target like a fast one.
 */
final class SpeedPlacementTest {
    private static final long LENGTH_MS = 34_000;
    private static final CellSettings OFF = new CellSettings(1_000, 2);
    private static final CellSettings ON = new CellSettings(1_000, 2, true);

    private static LoadSimulation.Score simulate(
            LoadSimulation.Site site,
            CellSettings settings,
            List<LoadSimulation.Arrival> arrivals) {
        LoadSimulation cell =
                new LoadSimulation(
                        site, settings, arrivals, LENGTH_MS, LoadSimulation.LostOrders.none());
        LoadSimulation.Score score = cell.simulate();
        assertThat(cell.violations()).isEmpty();
        return score;
    }

    /** Worth in time with the policy less that without, over some seeds. */
    private static double gain(HardLoad load, LoadSimulation.Site site, double rate) {
        double gain = 0;
        for (int seed = 1; seed <= 3; seed++) {
            List<LoadSimulation.Arrival> arrivals = load.arrivals(seed, rate, LENGTH_MS);
            LoadSimulation.Score off = simulate(site, OFF, arrivals);
            LoadSimulation.Score on = simulate(site, ON, arrivals);
            for (int queue = 0; queue < 3; queue++) {
                LoadSimulation.Kind kind = load.kind(queue);
                System.out.printf(
                        "%s at %.1f, queue %d: in time %.3f, largest tenth %.3f; off %.3f, %.3f%n",
                        load,
                        rate,
                        queue,
                        on.inTimeShare(kind),
                        on.largestInTimeShare(kind),
                        off.inTimeShare(kind),
                        off.largestInTimeShare(kind));
                assertThat(on.largestInTimeShare(kind)).isAtLeast(0.5 * on.inTimeShare(kind));
            }
            gain += (on.inTimeShare() - off.inTimeShare()) / 3;
        }
        return gain;
    }

    @Nested
    final class WaveAndBursts {
        @Test
        void speedsFarApart() {
            assertThat(gain(HardLoad.A, HardLoad.A.site(), 1.6)).isAtLeast(0.0);
        }

        @Test
        void largeTargetsAreSlow() {
            assertThat(gain(HardLoad.A, HardLoad.siteWith(1.7, 0.7, 0.7), 1.6)).isAtLeast(0.0);
        }

        @Test
        void speedsCloserTogether() {
            assertThat(gain(HardLoad.B, HardLoad.B.site(), 1.6)).isAtLeast(0.0);
        }
    }

    /** Nothing to choose from: the policy must not hold tasks back. */
    @Nested
    final class EqualSpeeds {
        @Test
        void slowTargetsOnly() {
            List<LoadSimulation.Arrival> arrivals = HardLoad.A.arrivals(1, 1.0, LENGTH_MS);
            LoadSimulation.Site site = HardLoad.siteWith(0.7);
            double off = simulate(site, OFF, arrivals).inTimeShare();
            assertThat(simulate(site, ON, arrivals).inTimeShare()).isEqualTo(off);
        }

        @Test
        void speedsDifferByLessThanQuarter() {
            List<LoadSimulation.Arrival> arrivals = HardLoad.B.arrivals(1, 1.6, LENGTH_MS);
            LoadSimulation.Site site = HardLoad.siteWith(0.95, 1.0, 1.1);
            double off = simulate(site, OFF, arrivals).inTimeShare();
            assertThat(simulate(site, ON, arrivals).inTimeShare()).isEqualTo(off);
        }
    }

    /** A third of the targets drains while the load is above the mean. */
    @Test
    void capacityLostAtShortNotice() {
        List<LoadSimulation.Arrival> arrivals = HardLoad.A.arrivals(4, 1.0, LENGTH_MS);
        double[] inTime = new double[2];
        for (int i = 0; i < 2; i++) {
            LoadSimulation cell =
                    new LoadSimulation(
                            HardLoad.A.site(),
                            i == 0 ? OFF : ON,
                            arrivals,
                            LENGTH_MS,
                            LoadSimulation.LostOrders.none());
            cell.drainTargets(3, 20_000);
            inTime[i] = cell.simulate().inTimeShare();
            assertThat(cell.violations()).isEmpty();
        }
        System.out.printf("capacity lost: in time %.3f, off %.3f%n", inTime[1], inTime[0]);
        assertThat(inTime[1]).isAtLeast(inTime[0]);
    }

    /** One long job, and free targets on which it ends late. */
    @Nested
    final class SlowTargetsFree {
        private final Evacuations mEvacuations = new Evacuations();
        private final Term mTerm =
                new Term(
                        1,
                        0,
                        mEvacuations,
                        new CrashHistory(),
                        new RecentJobs<>(),
                        KnownRecords.withoutEarlierTerms());
        private final Placement mPlacement = new Placement(mTerm, ON, new RunTimeEstimator());

        private SlowTargetsFree() {
            mEvacuations.update(Set.of());
            mTerm.beginEvent(0, new ArrayList<>());
            mTerm.useSpeeds(CellSpeeds.create(true));
        }

        private Target add(String id, String service, long runMs) {
            TargetInfo info =
                    new TargetInfo(id, id, service, "domain", 16_000, 0, 0, Set.of(), false, false);
            Target target = new Target(info, 0, 0);
            target.updateClock(0, 0);
            for (int run = 0; run < 100; run++) {
                target.addSpeedSample(100, runMs);
            }
            mTerm.targets().put(id, target);
            mTerm.measureSpeeds();
            return target;
        }

        private CellTask longTask(String id) {
            StepRequest step = StepRequest.cpuOnly(1, 16_000, 760);
            JobRequest request =
                    new JobRequest(id, "queue", "service", 2, 3, 1.6, 60, "", List.of(step), 1);
            return new CellJob(request, 0, 1_500, 1_000, 760, 1).tasks().get(0);
        }

        @Test
        void longTaskWaitsForBusyFastTarget() {
            add("slow", "service", 143);
            Target fast = add("fast", "service", 59);
            fast.add(new Run(longTask("a"), 1, fast, 0, Run.State.RUNNING));
            assertThat(mPlacement.choose(longTask("b")).isPresent()).isFalse();
        }

        /** Guards against a wait for targets of another service, which never take the task. */
        @Test
        void doesNotWaitForTargetOfOtherService() {
            Target slow = add("slow", "service", 143);
            Target fast = add("fast", "other", 59);
            fast.add(new Run(longTask("a"), 1, fast, 0, Run.State.RUNNING));
            assertThat(mPlacement.choose(longTask("b"))).isEqualTo(Optional.of(slow));
        }
    }
}
