package org.boragegap.app;

import static com.google.common.truth.Truth.assertThat;

import java.util.Set;
import org.boragegap.core.cell.CellLayout;
import org.junit.jupiter.api.Test;

/** Runs cells in one process, over real connections to stand-ins of the store and the targets. */
final class EmbeddedCellTest {
    private static final int JOBS = 30;

    /** In a new deployment the store has no layout: the entry VMs write one and serve jobs. */
    @Test
    void entryVmsCreateAMissingLayout() throws Exception {
        EmbeddedCell deployment = EmbeddedCell.create();
        deployment.start();
        assertThat(deployment.submitJobs(JOBS)).isEqualTo(JOBS);
        deployment.stop();
    }

    /**
     * With two cells, each job is served by the cell that its id belongs to, and only on targets of
     * that cell. A target that both controllers used would be filled twice.
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
