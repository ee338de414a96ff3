package org.boragegap.core.placement;

import java.util.HashMap;
import java.util.Map;
import org.boragegap.core.job.Resources;
import org.boragegap.core.job.TaskSpec;

/**
 * Estimates run times and needed resources per kind of task, since declared ones are often far off.
 *
 * <p>Keeps an exponential moving mean and mean deviation of each. A run time is estimated as the
 * mean, needed resources as the mean plus a margin of two deviations. Until there are enough
 * samples, the declared values are used.
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

    /** Adds the run time and the used resources of a finished task. */
    public void add(String kind, long tookMs, Resources used) {
        KindSamples samples = mKinds.computeIfAbsent(kind, name -> new KindSamples());
        samples.mTookMs.add(tookMs);
        samples.mCpuMillis.add(used.cpuMillis());
        samples.mMemoryMb.add(used.memoryMb());
    }

    /** Estimated run time in milliseconds, at least 1. */
    public double estimatedMs(String kind, TaskSpec task) {
        KindSamples samples = mKinds.get(kind);
        return hasEnoughSamples(samples)
                ? Math.max(1, samples.mTookMs.mMean)
                : Math.max(1, task.expectedMs());
    }

    /** Resources to account for a task; accelerators as declared, since they are not shared. */
    public Resources estimatedNeed(String kind, TaskSpec task) {
        KindSamples samples = mKinds.get(kind);
        if (!hasEnoughSamples(samples) || samples.mCpuMillis.mMean <= 0) {
            return task.need();
        }
        return new Resources(
                (int) Math.ceil(samples.mCpuMillis.upperEstimate()),
                (int) Math.ceil(samples.mMemoryMb.upperEstimate()),
                task.need().accelerators());
    }

    private static boolean hasEnoughSamples(KindSamples samples) {
        return samples != null && samples.mTookMs.mCount >= MIN_SAMPLES;
    }
}
