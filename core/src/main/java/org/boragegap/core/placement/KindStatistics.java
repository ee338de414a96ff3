package org.boragegap.core.placement;

import java.util.HashMap;
import java.util.Map;
import org.boragegap.core.job.Resources;
import org.boragegap.core.job.TaskSpec;

/**
 * Learns run times and needs per kind of task, since declared ones are often far off.
 *
 * <p>Keeps a moving mean and mean deviation of each; an estimate is the mean plus a margin of two
 * deviations. Until enough was seen, the declaration stands.
 */
public final class KindStatistics {
    private static final int MIN_SAMPLES = 8;
    private static final int MARGIN_DEVIATIONS = 2;

    private static final class MovingStatistics {
        private static final double SMOOTHING_FACTOR = 0.1;
        private double mMean;
        private double mMeanDeviation;
        private long mCount;

        void add(double value) {
            if (mCount++ == 0) {
                mMean = value;
                return;
            }
            mMeanDeviation += SMOOTHING_FACTOR * (Math.abs(value - mMean) - mMeanDeviation);
            mMean += SMOOTHING_FACTOR * (value - mMean);
        }

        double upperEstimate() {
            return mMean + MARGIN_DEVIATIONS * mMeanDeviation;
        }
    }

    private static final class KindSamples {
        private final MovingStatistics mTookMs = new MovingStatistics();
        private final MovingStatistics mCpuMillis = new MovingStatistics();
        private final MovingStatistics mMemoryMb = new MovingStatistics();
    }

    private final Map<String, KindSamples> mKinds = new HashMap<>();

    /** Takes what a finished task took and used. */
    public void add(String kind, long tookMs, Resources used) {
        KindSamples seen = mKinds.computeIfAbsent(kind, name -> new KindSamples());
        seen.mTookMs.add(tookMs);
        seen.mCpuMillis.add(used.cpuMillis());
        seen.mMemoryMb.add(used.memoryMb());
    }

    /** Expected run time in milliseconds. */
    public double estimatedMs(String kind, TaskSpec task) {
        KindSamples seen = mKinds.get(kind);
        return hasEnoughSamples(seen)
                ? Math.max(1, seen.mTookMs.mMean)
                : Math.max(1, task.expectedMs());
    }

    /** What to account for; accelerators are taken as declared, they are not shared. */
    public Resources estimatedNeed(String kind, TaskSpec task) {
        KindSamples seen = mKinds.get(kind);
        if (!hasEnoughSamples(seen) || seen.mCpuMillis.mMean <= 0) {
            return task.need();
        }
        return new Resources(
                (int) Math.ceil(seen.mCpuMillis.upperEstimate()),
                (int) Math.ceil(seen.mMemoryMb.upperEstimate()),
                task.need().accelerators());
    }

    private static boolean hasEnoughSamples(KindSamples seen) {
        return seen != null && seen.mTookMs.mCount >= MIN_SAMPLES;
    }
}
