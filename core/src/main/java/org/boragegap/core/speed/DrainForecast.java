package org.boragegap.core.speed;

import java.util.Arrays;

/**
 * Predicts when the work that is ahead of a task will have been started, from when the places for
 * tasks become free and how fast they are.
 *
 * <p>One object is reused for all forecasts: one is made for each offered job.
 */
public final class DrainForecast {
    private static final int BUCKETS = 64;

    /**
     * Width of a bucket in ms; with 64 of them, ends are told apart up to two thirds of a second.
     */
    private static final double BUCKET_MS = 10;

    private final double[] mFreedSpeed = new double[BUCKETS];
    private double mTotalSpeed;

    private DrainForecast() {}

    /** Creates a forecast without places. */
    public static DrainForecast create() {
        return new DrainForecast();
    }

    /** Removes all places. */
    public void clear() {
        Arrays.fill(mFreedSpeed, 0);
        mTotalSpeed = 0;
    }

    /** Adds places with this total speed that become free after {@code freeInMs}. */
    public void add(double speed, double freeInMs) {
        int bucket = (int) Math.min(BUCKETS - 1, Math.max(0, freeInMs) / BUCKET_MS);
        mFreedSpeed[bucket] += speed;
        mTotalSpeed += speed;
    }

    /** Time until this work, in ms at speed 1, has been started, in ms. */
    public double waitMs(double workMs) {
        double speed = 0;
        double leftMs = workMs;
        for (int bucket = 0; bucket < BUCKETS; bucket++) {
            speed += mFreedSpeed[bucket];
            double doneMs = speed * BUCKET_MS;
            if (speed > 0 && leftMs <= doneMs) {
                return bucket * BUCKET_MS + leftMs / speed;
            }
            leftMs -= doneMs;
        }
        return BUCKETS * BUCKET_MS + leftMs / Math.max(1, mTotalSpeed);
    }
}
