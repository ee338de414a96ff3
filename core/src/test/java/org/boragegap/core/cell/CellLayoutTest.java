package org.boragegap.core.cell;

import static com.google.common.truth.Truth.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/** How a deployment is divided into cells. */
final class CellLayoutTest {
    @Test
    void aSmallDeploymentIsOneCell() {
        assertThat(CellLayout.forTargets(1)).isEqualTo(new CellLayout(1));
        assertThat(CellLayout.forTargets(50)).isEqualTo(new CellLayout(1));
    }

    @Test
    void theSizeToDesignForHasACellForEachFiftyTargets() {
        assertThat(CellLayout.forTargets(245)).isEqualTo(new CellLayout(5));
        assertThat(CellLayout.forTargets(1_400)).isEqualTo(new CellLayout(28));
    }

    @Property(tries = 200, seed = "1")
    void whatIsWrittenIsReadAgain(@ForAll @IntRange(min = 1, max = 5_000) int targets) {
        CellLayout layout = CellLayout.forTargets(targets);
        assertThat(CellLayout.parse(layout.text())).hasValue(layout);
    }

    @Test
    void whatIsNoNumberOfCellsIsNotTaken() {
        for (String text : new String[] {"", "0", "-1", "61", "five"}) {
            assertThat(CellLayout.parse(text)).isEmpty();
        }
    }

    /** Jobs come by random ids; a cell that got many more than the others would refuse them. */
    @Test
    void jobsAreSpreadEvenly() {
        CellLayout layout = new CellLayout(5);
        int[] counts = new int[5];
        for (int i = 0; i < 10_000; i++) {
            counts[layout.cellOfJob(String.format("%016x", i * 0x9E3779B97F4A7C15L))]++;
        }
        for (int count : counts) {
            assertThat(count).isIn(com.google.common.collect.Range.closed(1_850, 2_150));
        }
    }
}
