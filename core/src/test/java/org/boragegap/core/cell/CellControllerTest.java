package org.boragegap.core.cell;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.boragegap.core.ClockReading;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Admission, refusal and start order of jobs at a controller. */
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
     * Guards against a caller that waits until its deadline because an empty target list is treated
     * as one that was not read yet.
     */
    @Test
    void aJobForWhichNoTargetIsListedIsRefusedAtOnce() {
        on(0, new CellEvent.TermBegan(7, Optional.empty()));
        on(10, new CellEvent.TargetsListed(List.of()));
        offer(20);
        assertThat(verdicts()).hasSize(1);
        assertThat(verdicts().get(0)).isInstanceOf(Verdict.Declined.class);
    }

    /** The term has just begun, and the targets are not known yet. */
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
     * Guards against new callers being delayed after a change of the controller: all pending jobs
     * are offered to the next controller at once, some of them too late to be of much use.
     */
    @Test
    void lateJobsStartAfterJobsThatCanMeetTheirObjective() {
        on(0, new CellEvent.TermBegan(7, Optional.of(List.of(TARGET))));
        offer(10, "00000000000000f1", 1_400, 2);
        offer(11, "00000000000000f2", 0, 1);
        targetReports(20);
        on(20, new CellEvent.TargetsListed(List.of(TARGET)));
        on(21, new CellEvent.PredecessorsKnown());
        assertThat(started()).containsExactly("00000000000000f2");
    }

    /**
     * Guards against callers that wait until their deadline and then get an answer in doubt,
     * because their job waits at a controller that cannot start it: its targets are full, or its
     * term is not settled. The job is refused once no answer can be of use, and the refusal is
     * true.
     */
    @Test
    void aJobThatWaitedTooLongIsRefusedBeforeItsTimeout() {
        on(0, new CellEvent.TermBegan(7, Optional.of(List.of(TARGET))));
        offer(10, "00000000000000f5", 0, 1);
        // The objective is 1.6 * 100 + 60 = 220 ms; three times that minus 100 ms of work is 560
        // ms.
        on(570, new CellEvent.Ticked());
        assertThat(verdicts()).isEmpty();
        on(580, new CellEvent.Ticked());
        assertThat(verdicts()).hasSize(1);
        assertThat(verdicts().get(0)).isInstanceOf(Verdict.Declined.class);
        targetReports(590);
        on(600, new CellEvent.PredecessorsKnown());
        assertThat(started()).isEmpty();
    }

    /** An earlier controller may have started the job, so a refusal could be false. */
    @Test
    void aJobThatMayHaveStartedIsNotRefused() {
        on(0, new CellEvent.TermBegan(7, Optional.of(List.of(TARGET))));
        offer(10, "00000000000000f6", 0, 2);
        on(1_400, new CellEvent.Ticked());
        assertThat(verdicts()).isEmpty();
    }

    /**
     * A term that ends before it starts anything leaves nothing for the next controller to ask for.
     */
    @Test
    void aTermWithoutStartsOrReportedRunsHasAffectedNoTarget() {
        on(0, new CellEvent.TermBegan(7, Optional.of(List.of(TARGET))));
        targetReports(20);
        assertThat(mController.hasAffectedNoTarget()).isTrue();
        on(20, new CellEvent.TargetsListed(List.of(TARGET)));
        on(21, new CellEvent.PredecessorsKnown());
        offer(22, "00000000000000f3", 0, 1);
        assertThat(mController.hasAffectedNoTarget()).isFalse();
    }

    /** The term may have extended the lease of a task that an earlier controller started. */
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
