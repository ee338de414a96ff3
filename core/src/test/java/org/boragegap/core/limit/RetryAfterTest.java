package org.boragegap.core.limit;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

final class RetryAfterTest {
    /**
     * Guards against callers that are refused together, as in a burst, and come back together: the
     * same delay brought the burst back whole.
     */
    @Test
    void callersRefusedTogetherDoNotReturnTogether() {
        int[] bySecond = new int[5];
        for (int job = 0; job < 1_000; job++) {
            long delayMs = RetryAfter.wholeSecondsMs(0, String.format("%016x", job));
            assertThat(delayMs % 1_000).isEqualTo(0);
            bySecond[(int) (delayMs / 1_000)]++;
        }
        assertThat(bySecond[0]).isEqualTo(0);
        assertThat(bySecond[1]).isAtLeast(400);
        assertThat(bySecond[2]).isAtLeast(400);
    }

    @Test
    void longWaitIsNotShortened() {
        for (int job = 0; job < 100; job++) {
            assertThat(RetryAfter.wholeSecondsMs(4_000, "job" + job)).isAtLeast(4_000L);
        }
    }
}
