package org.boragegap.core.claim;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.boragegap.core.ClockReading;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** A VM handles a read of the log long after it was sent, or was suspended since. */
final class OldReadsTest {
    private static final ClaimLimits LIMITS =
            new ClaimLimits(60_000, 100, 4_000, 200, 1_000, 40_000, 10_000, 5_000);
    private static final long WALL_MS = 1_000_000;
    private static final Member A = new Member("a:1", 1);
    private static final DomainView ALONE = DomainView.first(WALL_MS, 5, A, 0);

    private final ClaimProtocol mA = ClaimProtocol.create(A, "fd", LIMITS, () -> 1);

    private static ClockReading at(long ms) {
        return new ClockReading(ms, WALL_MS + ms);
    }

    private static LogBatch batch(List<LoggedView> views, long sentMs) {
        return new LogBatch(views, 0, views.size(), WALL_MS, true, sentMs);
    }

    private static List<LoggedView> aloneOnLog() {
        return List.of(new LoggedView(0, ViewRecord.proposal("fd", ALONE), WALL_MS, 0));
    }

    @Nested
    final class OfAView {
        /** Guards against a view being taken for younger by the time that its read waited. */
        @Test
        void aViewAgesWhileItsReadWaits() {
            long expiredMs = 10 + LIMITS.viewExpiryMs();
            mA.onLog(batch(aloneOnLog(), 10), at(expiredMs), new ArrayList<>());
            assertThat(mA.ready(at(expiredMs))).isFalse();
        }

        /** Guards against a view being taken for younger by the time that its VM was suspended. */
        @Test
        void aViewAgesWhileTheVmIsSuspended() {
            mA.onLog(batch(aloneOnLog(), 10), at(10), new ArrayList<>());
            mA.onTick(at(20), new ArrayList<>());
            assertThat(mA.ready(at(20))).isTrue();
            ClockReading resumed = new ClockReading(30, WALL_MS + LIMITS.viewExpiryMs() + 30);
            assertThat(mA.ready(resumed)).isFalse();
            mA.onTick(resumed, new ArrayList<>());
            assertThat(mA.ready(resumed)).isFalse();
        }
    }

    @Nested
    final class OfAReadDuringASuspension {
        /** Guards against a member that never claims since it read its view while suspended. */
        @Test
        void theNextReadTellsTheAgeOfTheView() {
            mA.onTick(at(0), new ArrayList<>());
            ClockReading resumed = new ClockReading(20, WALL_MS + 5_020);
            mA.onTick(resumed, new ArrayList<>());
            mA.onLog(batch(aloneOnLog(), 10), resumed, new ArrayList<>());
            assertThat(mA.ready(resumed)).isFalse();
            ClockReading later = new ClockReading(500, WALL_MS + 5_500);
            LogBatch next = new LogBatch(List.of(), 0, 1, WALL_MS + 5_500, true, 490);
            mA.onLog(next, later, new ArrayList<>());
            assertThat(mA.ready(later)).isTrue();
        }
    }

    @Nested
    final class OfAnEmptyLog {
        private long coverageOfFirstView(ClockReading clock) {
            List<ClaimAction> out = new ArrayList<>();
            mA.onTick(clock, out);
            return out.stream()
                    .filter(ClaimAction.Append.class::isInstance)
                    .map(action -> ((ClaimAction.Append) action).record().view())
                    .findFirst()
                    .orElseThrow()
                    .coverageStartMs();
        }

        @Test
        void theVeryFirstViewCoversAllIds() {
            mA.onLog(batch(List.of(), 10), at(20), new ArrayList<>());
            assertThat(coverageOfFirstView(at(30))).isEqualTo(DomainView.COVERS_ALL);
        }

        /** Guards against a first view that covers ids of views that came and went in a pause. */
        @Test
        void aFirstViewAfterALongPauseCoversNoEarlierIds() {
            long laterMs = LIMITS.logRetentionMs();
            mA.onLog(batch(List.of(), 10), at(laterMs), new ArrayList<>());
            assertThat(coverageOfFirstView(at(laterMs))).isGreaterThan(WALL_MS + laterMs);
        }

        /** The same after a suspension of the VM. */
        @Test
        void aFirstViewAfterASuspensionCoversNoEarlierIds() {
            mA.onTick(at(0), new ArrayList<>());
            mA.onLog(batch(List.of(), 10), at(10), new ArrayList<>());
            ClockReading resumed = new ClockReading(20, WALL_MS + LIMITS.logRetentionMs());
            assertThat(coverageOfFirstView(resumed)).isGreaterThan(resumed.wallMs());
        }
    }
}
