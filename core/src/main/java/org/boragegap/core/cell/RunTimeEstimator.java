package org.boragegap.core.cell;

import java.util.HashMap;
import java.util.Map;

/**
 * Estimates task run times per queue from completed runs, because callers' estimates are often
 * inaccurate.
 *
 * <p>For each queue it keeps two moving averages over all targets: the run time, and the ratio of
 * the run time to the caller's estimate. The expected run time is the geometric mean of the average
 * run time and the estimate corrected by the average ratio: the estimate distinguishes tasks of one
 * queue, and the average compensates for errors in the estimate.
 */
final class RunTimeEstimator {
    /** Weight of a new sample: the average covers about the last fifty tasks. */
    private static final double SAMPLE_WEIGHT = 0.02;

    /** Number of samples before the averages are used. */
    private static final int MIN_SAMPLES = 10;

    /**
     * Run time assumed for a task without an estimate while its queue has too few samples, in ms.
     */
    private static final double DEFAULT_MS = 200;

    private static final class QueueStats {
        private double mMeanMs;
        private double mRatio = 1.0;
        private int mCount;

        void add(double tookMs, double estimateMs) {
            double weight = Math.max(SAMPLE_WEIGHT, 1.0 / ++mCount);
            mMeanMs += weight * (tookMs - mMeanMs);
            if (estimateMs > 0) {
                mRatio += weight * (tookMs / estimateMs - mRatio);
            }
        }
    }

    private final Map<String, QueueStats> mQueues = new HashMap<>();

    /** Adds the run time of a completed run. */
    void add(String queue, StepRequest step, double tookMs) {
        mQueues.computeIfAbsent(queue, name -> new QueueStats()).add(tookMs, step.estimateMs());
    }

    /** Expected run time on a target of average speed, in ms. */
    double expectedMs(String queue, StepRequest step) {
        QueueStats stats = mQueues.get(queue);
        boolean known = stats != null && stats.mCount >= MIN_SAMPLES;
        if (step.estimateMs() <= 0) {
            return known ? stats.mMeanMs : DEFAULT_MS;
        }
        if (!known) {
            return step.estimateMs();
        }
        return Math.sqrt(step.estimateMs() * stats.mRatio * stats.mMeanMs);
    }
}
