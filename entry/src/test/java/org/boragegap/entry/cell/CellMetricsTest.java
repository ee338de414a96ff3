package org.boragegap.entry.cell;

import static com.google.common.truth.Truth.assertThat;

import org.boragegap.core.cell.Decision;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class CellMetricsTest {
    private final CellMetrics mMetrics = new CellMetrics();

    private String line(String name) {
        return mMetrics.scrape()
                .lines()
                .filter(line -> line.startsWith(name + " ") || line.startsWith(name + "{"))
                .findFirst()
                .orElse("");
    }

    @Nested
    final class Terms {
        @Test
        void onlyBeginningsCount() {
            mMetrics.decided(Decision.self("control", "fence=7", "this VM controls the cell"));
            mMetrics.decided(
                    Decision.self("control", "fence=7", "this VM no longer controls the cell"));
            assertThat(line("boragegap_terms_total")).isEqualTo("boragegap_terms_total 1.0");
        }

        @Test
        void settledOnesCountByEvidence() {
            mMetrics.decided(
                    Decision.self("settled", "term_age_ms=5 evidence=REPORTS", "tasks may start"));
            assertThat(line("boragegap_terms_settled_total"))
                    .isEqualTo("boragegap_terms_settled_total{evidence=\"REPORTS\"} 1.0");
        }

        /** Guards against a settled term that no counter shows. */
        @Test
        void settledOnesWithoutEvidenceCountAsUnknown() {
            mMetrics.decided(Decision.self("settled", "term_age_ms=5", "tasks may start"));
            assertThat(line("boragegap_terms_settled_total"))
                    .isEqualTo("boragegap_terms_settled_total{evidence=\"unknown\"} 1.0");
        }
    }
}
