package org.boragegap.core.speed;

/**
 * Speed of one target relative to the others, learned from completed runs.
 *
 * <p>Averages the ratio of the actual to the expected run time. The average of the inverse ratio
 * would be biased upwards by runs that were shorter than expected.
 */
public final class MeasuredSpeed {
    /**
     * Weight of a new sample. Estimates are off by up to 40%, so with a tenth, as for the last ten
     * runs, equal targets of a cell appear to differ by more than a quarter.
     */
    private static final double SAMPLE_WEIGHT = 1.0 / 32;

    /**
     * Number of samples before the speed is compared with others. Without it, equal targets that
     * have completed a few runs differ from those that have completed none.
     */
    private static final int MIN_SAMPLES = 16;

    /** Weight of the assumed initial speed, in samples. */
    private static final int PRIOR_SAMPLES = 4;

    /** Highest ratio that is taken from one run; a longer run has most likely stalled. */
    private static final double MAX_SLOWNESS = 4;

    private double mSlowness = 1;
    private int mCount;

    private MeasuredSpeed() {}

    /** Creates the speed of a target that has completed no run. */
    public static MeasuredSpeed create() {
        return new MeasuredSpeed();
    }

    /** Adds a run that took {@code tookMs} where {@code expectedMs} was expected at speed 1. */
    public void add(double expectedMs, double tookMs) {
        double slowness = Math.min(MAX_SLOWNESS, tookMs / Math.max(1, expectedMs));
        double weight = Math.max(SAMPLE_WEIGHT, 1.0 / (++mCount + PRIOR_SAMPLES));
        mSlowness += weight * (slowness - mSlowness);
    }

    /** True when enough runs were completed to compare the speed with others. */
    public boolean known() {
        return mCount >= MIN_SAMPLES;
    }

    /** The speed; 1 before the first run. */
    public double speed() {
        return 1 / Math.max(1 / MAX_SLOWNESS, mSlowness);
    }
}
