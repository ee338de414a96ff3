package org.boragegap.core.cell;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.boragegap.core.ClockReading;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** What a controller takes on and refuses. */
final class CellControllerTest {
    private static final String JOB = "00000000000000aa";
    private static final long BUDGET_MS = 1_500;

    private static final TargetInfo TARGET =
            new TargetInfo("t", "t", "service", "domain", 1_000, 100, 0, Set.of(), false, false);

    private final CellController mController = CellController.create(new CellSettings(1_000, 2));
    private final List<CellAction> mActions = new ArrayList<>();
    private long mNextOfferNumber = 1;

    @BeforeEach
    void evacuateNothing() {
        on(0, new CellEvent.DomainsEvacuated(Set.of()));
    }

    private void on(long ms, CellEvent event) {
        mController.on(event, new ClockReading(ms, ms), mActions);
    }

    private void offer(long ms) {
        StepRequest step = StepRequest.cpuOnly(1, 1_000, 100);
        JobRequest request =
                new JobRequest(JOB, "queue", "service", 0, 3, 1.6, 60, "", List.of(step), 1);
        on(ms, new CellEvent.Offered("vm1", request, 0, BUDGET_MS, 1, 1));
    }

    private List<Verdict> verdicts() {
        return mActions.stream()
                .filter(CellAction.Answer.class::isInstance)
                .map(action -> ((CellAction.Answer) action).verdict())
                .toList();
    }

    /**
     * No target of the job's cell is listed. The caller waited until its time was over, since an
     * empty list was taken for one that was not read yet.
     */
    @Test
    void aJobForWhichNoTargetIsListedIsRefusedAtOnce() {
        on(0, new CellEvent.TermBegan(7, Optional.empty()));
        on(10, new CellEvent.TargetsListed(List.of()));
        offer(20);
        assertThat(verdicts()).hasSize(1);
        assertThat(verdicts().get(0)).isInstanceOf(Verdict.Declined.class);
    }

    /** The term has just begun: which targets there are isn't known yet. */
    @Test
    void aJobOfferedBeforeTheTargetListWaits() {
        on(0, new CellEvent.TermBegan(7, Optional.empty()));
        offer(10);
        assertThat(verdicts()).isEmpty();
    }

    private void offer(long ms, String id, long ageMs, int controllers) {
        StepRequest step = StepRequest.cpuOnly(1, 1_000, 100);
        JobRequest request =
                new JobRequest(id, "queue", "service", 0, 3, 1.6, 60, "", List.of(step), 1);
        on(
                ms,
                new CellEvent.Offered(
                        "vm1", request, ageMs, BUDGET_MS, controllers, mNextOfferNumber++));
    }

    private long lastCall() {
        return mActions.stream()
                .filter(CellAction.ExtendLease.class::isInstance)
                .mapToLong(action -> ((CellAction.ExtendLease) action).call())
                .max()
                .orElseThrow();
    }

    private void targetReports(long ms) {
        TargetReport report = new TargetReport(ms, List.of(), List.of());
        on(ms, new CellEvent.LeaseExtended("t", lastCall(), report));
    }

    private List<String> started() {
        return mActions.stream()
                .filter(CellAction.StartRun.class::isInstance)
                .map(action -> ((CellAction.StartRun) action).task().job())
                .toList();
    }

    /**
     * The controller was lost. All that waited comes to the next one at once, some of it too late
     * to be worth much; a caller who comes now must not wait behind it.
     */
    @Test
    void lateJobsStartAfterJobsThatCanMeetTheirObjective() {
        on(0, new CellEvent.TermBegan(7, Optional.of(List.of(TARGET))));
        offer(10, "00000000000000f1", 1_400, 2);
        offer(11, "00000000000000f2", 0, 1);
        targetReports(20);
        on(21, new CellEvent.PredecessorsKnown(true));
        assertThat(started()).containsExactly("00000000000000f2");
    }

    /**
     * Callers were held until their time was over and then told that it isn't known whether their
     * job ran. It had waited at a controller that could start nothing: its targets were full, or
     * its term wasn't settled yet. Once no answer can be of use, the refusal is true and is told.
     */
    @Test
    void aJobThatWaitedTooLongIsRefusedBeforeItsTimeout() {
        on(0, new CellEvent.TermBegan(7, Optional.of(List.of(TARGET))));
        offer(10, "00000000000000f5", 0, 1);
        // Objective 1.6 * 100 + 60 = 220 ms; three times that less 100 ms of work is 560 ms.
        on(570, new CellEvent.Ticked());
        assertThat(verdicts()).isEmpty();
        on(580, new CellEvent.Ticked());
        assertThat(verdicts()).hasSize(1);
        assertThat(verdicts().get(0)).isInstanceOf(Verdict.Declined.class);
        targetReports(590);
        on(600, new CellEvent.PredecessorsKnown(true));
        assertThat(started()).isEmpty();
    }

    /** An earlier controller may have started it: a refusal might be untrue. */
    @Test
    void aJobThatMayHaveStartedIsNotRefused() {
        on(0, new CellEvent.TermBegan(7, Optional.of(List.of(TARGET))));
        offer(10, "00000000000000f6", 0, 2);
        on(1_400, new CellEvent.Ticked());
        assertThat(verdicts()).isEmpty();
    }

    /** A term that ends before it could start anything leaves nothing to be asked for. */
    @Test
    void aTermWithoutStartsOrReportedRunsHasAffectedNoTarget() {
        on(0, new CellEvent.TermBegan(7, Optional.of(List.of(TARGET))));
        targetReports(20);
        assertThat(mController.hasAffectedNoTarget()).isTrue();
        on(21, new CellEvent.PredecessorsKnown(true));
        offer(22, "00000000000000f3", 0, 1);
        assertThat(mController.hasAffectedNoTarget()).isFalse();
    }

    /** It may have extended the lease of an earlier controller's task. */
    @Test
    void aTermWithAReportedRunHasAffectedATarget() {
        on(0, new CellEvent.TermBegan(7, Optional.of(List.of(TARGET))));
        TaskName task = new TaskName("00000000000000f4", 0, 0, 0);
        TargetReport report =
                new TargetReport(20, List.of(new TargetReport.ActiveRun(task, 1, 50)), List.of());
        on(20, new CellEvent.LeaseExtended("t", lastCall(), report));
        assertThat(mController.hasAffectedNoTarget()).isFalse();
    }
}
