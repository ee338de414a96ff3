package org.boragegap.core.cell;

import java.util.HashMap;
import java.util.Map;

/**
 * Learns how long tasks of a queue run, since callers' estimates are often far off.
 *
 * <p>Two things are learned per queue, as moving means over all targets: the run time, and how it
 * relates to the estimate. The expectation is their geometric mean: the estimate tells tasks of one
 * queue apart, the mean corrects what the estimate gets wrong.
 */
final class RunTimeEstimator {
    /** Weight of a new sample: about the last fifty tasks decide. */
    private static final double SAMPLE_WEIGHT = 0.02;

    /** Samples before the learned values count. */
    private static final int MIN_SAMPLES = 10;

    /** Assumed for a task without an estimate of a queue not seen yet, in ms. */
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

    /** Takes a finished run. */
    void add(String queue, StepRequest step, double tookMs) {
        mQueues.computeIfAbsent(queue, name -> new QueueStats()).add(tookMs, step.estimateMs());
    }

    /** Expected run time on a target of middling speed, in ms. */
    double expectedMs(String queue, StepRequest step) {
        QueueStats seen = mQueues.get(queue);
        boolean known = seen != null && seen.mCount >= MIN_SAMPLES;
        if (step.estimateMs() <= 0) {
            return known ? seen.mMeanMs : DEFAULT_MS;
        }
        if (!known) {
            return step.estimateMs();
        }
        return Math.sqrt(step.estimateMs() * seen.mRatio * seen.mMeanMs);
    }
}
