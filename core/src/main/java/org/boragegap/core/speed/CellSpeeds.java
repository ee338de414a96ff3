package org.boragegap.core.speed;

/**
 * Mean speed of the targets of a cell, and whether they differ enough for a placement by speed.
 *
 * <p>Run times are learned for the mean speed. Without this reference, a queue whose tasks run on
 * slow targets only would learn their run times as normal, and the targets would appear as fast as
 * the others.
 */
public final class CellSpeeds {
    /** Ratio of the faster to the slower targets from which speeds count as different. */
    private static final double MIN_RATIO = 1.25;

    private final boolean mEnabled;
    private double mMean = 1;
    private boolean mDiffer;
    private double mFaster = 1;
    private int mCount;
    private double mSum;
    private int mFasterCount;
    private double mFasterSum;

    private CellSpeeds(boolean enabled) {
        mEnabled = enabled;
    }

    /**
     * Creates the speeds of a cell whose targets are not measured yet.
     *
     * @param enabled false when speeds never count as different
     */
    public static CellSpeeds create(boolean enabled) {
        return new CellSpeeds(enabled);
    }

    /** False when speeds never count as different, and need not be measured. */
    public boolean enabled() {
        return mEnabled;
    }

    /** Begins a new measurement; the last one stays in force until {@link #finish}. */
    public void begin() {
        mCount = 0;
        mSum = 0;
        mFasterCount = 0;
        mFasterSum = 0;
    }

    /** Adds a target to the measurement if its speed is known. */
    public void add(MeasuredSpeed measured) {
        if (measured.known()) {
            add(measured.speed());
        }
    }

    void add(double speed) {
        mCount++;
        mSum += speed;
        if (speed > mMean) {
            mFasterCount++;
            mFasterSum += speed;
        }
    }

    /** Completes the measurement. */
    public void finish() {
        if (mCount == 0) {
            return;
        }
        mMean = mSum / mCount;
        int slowerCount = mCount - mFasterCount;
        boolean divided = mFasterCount > 0 && slowerCount > 0;
        mFaster = divided ? mFasterSum / mFasterCount / mMean : 1;
        mDiffer =
                mEnabled
                        && divided
                        && mFasterSum / mFasterCount
                                >= MIN_RATIO * (mSum - mFasterSum) / slowerCount;
    }

    /** True when placement and waiting times take speeds into account. */
    public boolean differ() {
        return mDiffer;
    }

    /** Mean speed of the faster targets relative to the mean of the cell. */
    public double faster() {
        return mFaster;
    }

    /** Speed relative to the mean of the cell. */
    public double relative(double speed) {
        return speed / mMean;
    }

    /** Run time at mean speed of a run that took {@code tookMs} on a target of this speed. */
    public double normalizedMs(double tookMs, double speed) {
        return mDiffer ? tookMs * relative(speed) : tookMs;
    }
}
