package org.boragegap.app;

import static com.google.common.truth.Truth.assertThat;

import java.util.Set;
import org.boragegap.core.cell.CellLayout;
import org.junit.jupiter.api.Test;

/** Cells over real connections, against stand-ins, in one process. */
final class EmbeddedCellTest {
    private static final int JOBS = 30;

    /** A new deployment: its entry VMs write the layout themselves, and serve. */
    @Test
    void entryVmsCreateAMissingLayout() throws Exception {
        EmbeddedCell deployment = EmbeddedCell.create();
        deployment.start();
        assertThat(deployment.submitJobs(JOBS)).isEqualTo(JOBS);
        deployment.stop();
    }

    /**
     * A deployment of two cells: each job is served by the cell of its id, on targets of that cell
     * alone. A target that both controllers took for theirs would be filled twice.
     */
    @Test
    void jobsRunOnlyOnTargetsOfTheirCell() throws Exception {
        CellLayout layout = CellLayout.ofCells(2);
        EmbeddedCell deployment = EmbeddedCell.withLayout(layout);
        deployment.start();
        assertThat(deployment.submitJobs(JOBS)).isEqualTo(JOBS);
        for (int cell = 0; cell < 2; cell++) {
            Set<String> started = deployment.startedTasks(layout, cell);
            assertThat(started).isNotEmpty();
            for (String task : started) {
                String job = task.substring(0, task.indexOf('.'));
                assertThat(layout.cellOfJob(job)).isEqualTo(cell);
            }
        }
        deployment.stop();
    }
}
