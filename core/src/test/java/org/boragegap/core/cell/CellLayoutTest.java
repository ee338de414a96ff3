package org.boragegap.core.cell;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/** Division of a deployment into cells. */
final class CellLayoutTest {
    @Test
    void aSmallDeploymentIsOneCell() {
        List<Integer> vms = Collections.nCopies(9, 750);
        assertThat(CellLayout.forDeployment(1, vms)).isEqualTo(CellLayout.ofCells(1));
        assertThat(CellLayout.forDeployment(33, vms)).isEqualTo(CellLayout.ofCells(1));
        assertThat(CellLayout.forDeployment(50, vms)).isEqualTo(CellLayout.ofCells(1));
    }

    @Test
    void aLargeDeploymentHasACellForEachFiftyTargets() {
        List<Integer> vms = Collections.nCopies(250, 1_000);
        assertThat(CellLayout.forDeployment(245, vms)).isEqualTo(CellLayout.ofCells(5));
        assertThat(CellLayout.forDeployment(1_400, vms)).isEqualTo(CellLayout.ofCells(28));
    }

    /**
     * Guards against cells that are too large for VMs with an eighth of a core: two cells of 43
     * targets each needed three times the processor that their controllers had, and no caller was
     * served. Smaller cells pool less capacity, but have a working controller.
     */
    @Test
    void weakVmsGetSmallerCells() {
        List<Integer> vms = Collections.nCopies(18, 120);
        assertThat(CellLayout.forDeployment(85, vms).cells()).isEqualTo(10);
    }

    /** The first load stalls their controllers for longer than a lease of a second. */
    @Test
    void weakVmsGetALongerLease() {
        assertThat(CellLayout.forDeployment(85, Collections.nCopies(18, 120)).minLeaseMs())
                .isEqualTo(3_000);
        List<Integer> someStrong = new ArrayList<>(Collections.nCopies(9, 120));
        someStrong.add(750);
        assertThat(CellLayout.forDeployment(33, someStrong).minLeaseMs()).isEqualTo(0);
    }

    @Test
    void aLayoutWithALeaseRoundTrips() {
        CellLayout layout = new CellLayout(10, 3_000);
        assertThat(layout.text()).isEqualTo("10 3000");
        assertThat(CellLayout.parse("10 3000")).hasValue(layout);
    }

    /** Some VMs are strong: they control the cells, which are as large as these VMs can handle. */
    @Test
    void theStrongestVmsSetTheSizeOfCells() {
        List<Integer> vms = new ArrayList<>(Collections.nCopies(32, 360));
        vms.addAll(Collections.nCopies(15, 1_500));
        assertThat(CellLayout.forDeployment(260, vms)).isEqualTo(CellLayout.ofCells(6));
    }

    @Test
    void whenNoVmIsKnownTheTargetsAloneDecide() {
        assertThat(CellLayout.forDeployment(85, List.of())).isEqualTo(CellLayout.ofCells(2));
    }

    @Property(tries = 200, seed = "1")
    void layoutsRoundTripThroughText(@ForAll @IntRange(min = 1, max = 5_000) int targets) {
        CellLayout layout = CellLayout.forDeployment(targets, List.of(500));
        assertThat(CellLayout.parse(layout.text())).hasValue(layout);
    }

    @Test
    void invalidTextIsRejected() {
        for (String text : new String[] {"", "0", "-1", "61", "five", "5 x", "5 -1", "5 3000 1"}) {
            assertThat(CellLayout.parse(text)).isEmpty();
        }
    }

    /**
     * Jobs have random ids; a cell that got many more of them than the others would refuse them.
     */
    @Test
    void jobsAreSpreadEvenly() {
        CellLayout layout = CellLayout.ofCells(5);
        int[] counts = new int[5];
        for (int i = 0; i < 10_000; i++) {
            counts[layout.cellOfJob(String.format("%016x", i * 0x9E3779B97F4A7C15L))]++;
        }
        for (int count : counts) {
            assertThat(count).isIn(com.google.common.collect.Range.closed(1_850, 2_150));
        }
    }
}
