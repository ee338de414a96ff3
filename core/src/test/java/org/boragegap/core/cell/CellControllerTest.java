package org.boragegap.core.cell;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.boragegap.core.ClockReading;
import org.junit.jupiter.api.Test;

/** What a controller takes on and refuses. */
final class CellControllerTest {
    private static final String JOB = "00000000000000aa";

    private final CellController mController = CellController.create(new CellSettings(1_000, 2));
    private final List<CellAction> mActions = new ArrayList<>();

    private void on(long ms, CellEvent event) {
        mController.on(event, new ClockReading(ms, ms), mActions);
    }

    private void offer(long ms) {
        StepRequest step = StepRequest.plain(1, 1_000, 100);
        JobRequest request =
                new JobRequest(JOB, "queue", "service", 0, 3, 1.6, 60, "", List.of(step), 1);
        on(ms, new CellEvent.Offered("vm1", request, 0, 1, 1));
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
    void aJobThatComesBeforeTheListWaits() {
        on(0, new CellEvent.TermBegan(7, Optional.empty()));
        offer(10);
        assertThat(verdicts()).isEmpty();
    }
}
