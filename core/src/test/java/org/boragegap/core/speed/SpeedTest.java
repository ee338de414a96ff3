package org.boragegap.core.speed;

import static com.google.common.truth.Truth.assertThat;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests the parts of the placement by speed without a cell. */
final class SpeedTest {
    @Nested
    final class Choice {
        private final SpeedChoice mChoice = SpeedChoice.create();

        /** Guards against a long task that starts on a slow target and is certain to be late. */
        @Test
        void longTaskWaitsForFasterTarget() {
            mChoice.begin(760, 1_000);
            mChoice.offer(0.7, 16_000);
            assertThat(mChoice.prefersToWaitFor(1.7)).isTrue();
        }

        @Test
        void shortTaskTakesSlowTarget() {
            mChoice.begin(51, 140);
            mChoice.offer(0.7, 16_000);
            assertThat(mChoice.prefersToWaitFor(1.7)).isFalse();
        }

        /** Guards against a task that waits for its deadline on targets that are all too slow. */
        @Test
        void taskThatIsLateAnywhereDoesNotWait() {
            mChoice.begin(760, 100);
            mChoice.offer(0.7, 16_000);
            assertThat(mChoice.prefersToWaitFor(1.7)).isFalse();
        }

        @Test
        void fastestAndThenFullestTargetIsBest() {
            mChoice.begin(51, 140);
            assertThat(mChoice.offer(0.7, 16_000)).isTrue();
            assertThat(mChoice.offer(1.7, 32_000)).isTrue();
            assertThat(mChoice.offer(1.7, 16_000)).isTrue();
            assertThat(mChoice.offer(1.0, 16_000)).isFalse();
        }
    }

    @Nested
    final class Difference {
        private final CellSpeeds mSpeeds = CellSpeeds.create(true);

        private boolean differ(double... speeds) {
            for (int i = 0; i < 2; i++) {
                mSpeeds.begin();
                for (double speed : speeds) {
                    mSpeeds.add(speed);
                }
                mSpeeds.finish();
            }
            return mSpeeds.differ();
        }

        /**
         * Guards against equal targets that count as different because estimates of run times are
         * off by up to 40%.
         */
        @Test
        void equalTargetsWithInaccurateEstimatesDoNotDiffer() {
            SplittableRandom random = new SplittableRandom(3);
            double[] speeds = new double[49];
            for (int i = 0; i < speeds.length; i++) {
                MeasuredSpeed measured = MeasuredSpeed.create();
                for (int run = 0; run < 200; run++) {
                    measured.add(100, 60 + 80 * random.nextDouble());
                }
                speeds[i] = measured.speed();
            }
            assertThat(differ(speeds)).isFalse();
        }

        /** Guards against targets without runs that count as faster than equal ones with a few. */
        @Test
        void targetsWithFewRunsDoNotDiffer() {
            MeasuredSpeed slow = MeasuredSpeed.create();
            for (int run = 0; run < 10; run++) {
                slow.add(70, 100);
            }
            mSpeeds.begin();
            mSpeeds.add(slow);
            mSpeeds.add(MeasuredSpeed.create());
            mSpeeds.finish();
            assertThat(mSpeeds.differ()).isFalse();
        }

        @Test
        void quarterIsEnough() {
            assertThat(differ(0.8, 0.8, 1.0)).isTrue();
            assertThat(differ(0.9, 0.9, 1.1)).isFalse();
        }

        @Test
        void disabledNeverDiffers() {
            CellSpeeds disabled = CellSpeeds.create(false);
            disabled.begin();
            disabled.add(0.7);
            disabled.add(1.7);
            disabled.finish();
            assertThat(disabled.differ()).isFalse();
        }
    }

    @Nested
    final class Forecast {
        private final DrainForecast mForecast = DrainForecast.create();

        /** Guards against a wait of 0 while all places are occupied. */
        @Test
        void waitsForFirstRunToEnd() {
            mForecast.add(1, 200);
            assertThat(mForecast.waitMs(10)).isAtLeast(200.0);
        }

        @Test
        void fastPlacesTakeMoreWork() {
            mForecast.add(1.7, 0);
            mForecast.add(0.7, 0);
            assertThat(mForecast.waitMs(240)).isWithin(1).of(100);
        }
    }
}
