package org.boragegap.core.cell;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.boragegap.core.ClockReading;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * Quiet hours on a deployment of hundreds of targets: most are idle, and the controllers spent more
 * processor time on requesting reports from them than on the jobs. Where something runs, the lease
 * has to be extended and the end has to be noticed immediately; an idle target needs neither.
 */
final class IdleTargetsTest {
    private static final long DURATION_MS = 12_000;

    private static LoadSimulation simulate(double jobsPerS) {
        List<LoadSimulation.Arrival> arrivals = LoadSimulation.arrivals(5, jobsPerS, DURATION_MS);
        LoadSimulation cell =
                new LoadSimulation(arrivals, DURATION_MS, LoadSimulation.LostOrders.none());
        LoadSimulation.Score score = cell.simulate();
        System.out.printf(
                "%.0f jobs/s: %.2f lease calls per second and target, in time %.3f%n",
                jobsPerS, cell.leaseCallsPerTarget(), score.inTimeShare());
        assertThat(cell.violations()).isEmpty();
        assertThat(score.inTimeShare()).isAtLeast(0.99);
        return cell;
    }

    /**
     * One job per target in 10 s, as at night. Polled as often as busy targets, idle ones got 3.3
     * calls a second.
     */
    @Test
    void idleTargetsArePolledOncePerSecond() {
        assertThat(simulate(3).leaseCallsPerTarget()).isAtMost(1.6);
    }

    /**
     * Half of the targets' capacity, as on a quiet day: the end of each run is still noticed at
     * once.
     */
    @Test
    void typicalLoadIsServedInTime() {
        simulate(60);
    }

    /** A single target, whose calls and answers come at given times. */
    @Nested
    final class OneTarget {
        private static final TargetInfo TARGET =
                new TargetInfo(
                        "t", "t", "service", "domain", 1_000, 100, 0, Set.of(), false, false);

        private final CellController mController =
                CellController.create(new CellSettings(1_000, 2));
        private final List<CellAction> mActions = new ArrayList<>();

        private void on(long ms, CellEvent event) {
            mController.exclusiveUntil(ms + 1_000);
            mController.on(event, new ClockReading(ms, ms), mActions);
        }

        private void ticks(long fromMs, long untilMs) {
            for (long ms = fromMs; ms <= untilMs; ms += 10) {
                on(ms, new CellEvent.Ticked());
            }
        }

        private List<CellAction.ExtendLease> calls() {
            return mActions.stream()
                    .filter(CellAction.ExtendLease.class::isInstance)
                    .map(CellAction.ExtendLease.class::cast)
                    .toList();
        }

        private CellAction.ExtendLease lastCall() {
            return calls().get(calls().size() - 1);
        }

        private void answer(long ms, CellAction.ExtendLease call) {
            TargetReport report = new TargetReport(ms, List.of(), List.of());
            on(ms, new CellEvent.LeaseExtended("t", call.call(), report));
        }

        private void idleTarget(long firstAnswerMs) {
            on(0, new CellEvent.DomainsEvacuated(Set.of()));
            on(0, new CellEvent.TermBegan(7, Optional.of(List.of(TARGET))));
            answer(firstAnswerMs, lastCall());
            on(firstAnswerMs, new CellEvent.TargetsListed(List.of(TARGET)));
            on(firstAnswerMs + 1, new CellEvent.PredecessorsKnown());
        }

        private void offer(long ms, String id) {
            StepRequest step = StepRequest.cpuOnly(1, 1_000, 900);
            JobRequest request =
                    new JobRequest(id, "queue", "service", 0, 3, 1.6, 60, "", List.of(step), 1);
            on(ms, new CellEvent.Offered("vm1", request, 0, 1_500, 1, 1));
        }

        private List<CellAction.StartRun> starts() {
            return mActions.stream()
                    .filter(CellAction.StartRun.class::isInstance)
                    .map(CellAction.StartRun.class::cast)
                    .toList();
        }

        /**
         * A task of 900 ms starts on an idle target, while the target may hold back its answer to
         * the long poll until the task's lease has expired. Without a further call the task is
         * killed while it runs, and its caller waits for a second run.
         */
        @Test
        void leaseOfLongRunIsExtendedInTime() {
            idleTarget(5);
            offer(200, "00000000000000a1");
            assertThat(starts()).hasSize(1);
            CellAction.StartRun start = starts().get(0);
            on(
                    205,
                    new CellEvent.StartAnswered(
                            "t", start.task(), start.run(), start.fence(), OrderResult.DONE));
            int before = calls().size();
            ticks(210, 520);
            assertThat(calls().size()).isGreaterThan(before);
            assertThat(lastCall().untilMs()).isAtLeast(1_400);
            assertThat(lastCall().waitMs()).isAtMost(300);
        }

        /**
         * Answers take 60 ms. The target holds back the long poll for a second, and the lease that
         * the call granted expires before the answer can arrive. When the target was taken for
         * lost, a healthy target got no work at the end of each idle second.
         */
        @Test
        void idleTargetWithExpiredLeaseGetsWork() {
            idleTarget(60);
            CellAction.ExtendLease longPoll = lastCall();
            ticks(70, 1_150);
            assertThat(longPoll.untilMs()).isLessThan(1_100);
            assertThat(lastCall()).isEqualTo(longPoll);
            offer(1_155, "00000000000000a2");
            assertThat(starts()).hasSize(1);
        }

        /**
         * A target dies while it is idle. Its long poll is overdue, then another one that may be
         * held back for 300 ms; from then on it is given no work.
         */
        @Test
        void unresponsiveIdleTargetGetsNoWork() {
            idleTarget(5);
            ticks(10, 2_400);
            offer(2_410, "00000000000000a3");
            assertThat(starts()).isEmpty();
        }
    }
}
