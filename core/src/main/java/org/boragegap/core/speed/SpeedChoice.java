package org.boragegap.core.speed;

/**
 * Compares free targets for one task: the fastest is the best. If the task can't end in time even
 * there, but could on one of the faster targets of the cell, it had better wait for such a target.
 *
 * <p>Long tasks have the least slack relative to their run time. On a slow target, they are late
 * and occupy it for nothing, while a short task behind them would be in time there. Giving each
 * task the slowest target that suffices serves less: it occupies targets for longer, and under
 * contention there is seldom more than one free target to choose from.
 *
 * <p>One object is reused for all tasks, since the choice is made for each start.
 */
public final class SpeedChoice {
    /** Factor on the expected run time, for errors of the measured speed. */
    private static final double MARGIN = 1.1;

    /** Time for the order to start and for the report of the end, in ms. */
    private static final double OVERHEAD_MS = 10;

    private double mMinSpeed;
    private boolean mAny;
    private double mBestSpeed;
    private int mBestFreeCpu;

    private SpeedChoice() {}

    /** Creates a choice without a task. */
    public static SpeedChoice create() {
        return new SpeedChoice();
    }

    /**
     * Begins the choice for a task.
     *
     * @param expectedMs its expected run time at speed 1
     * @param availableMs time until it has to end
     */
    public void begin(double expectedMs, double availableMs) {
        double runMs = availableMs - OVERHEAD_MS;
        mMinSpeed = runMs > 0 ? MARGIN * expectedMs / runMs : Double.MAX_VALUE;
        mAny = false;
    }

    /** Takes a free target into account; true when it is the best so far. */
    public boolean offer(double speed, int freeCpu) {
        boolean better =
                !mAny || speed > mBestSpeed || speed == mBestSpeed && freeCpu < mBestFreeCpu;
        if (better) {
            mAny = true;
            mBestSpeed = speed;
            mBestFreeCpu = freeCpu;
        }
        return better;
    }

    /**
     * True when the task can't be expected to end in time on the best free target, but can on one
     * of this speed.
     */
    public boolean prefersToWaitFor(double speed) {
        return mAny && mBestSpeed < mMinSpeed && speed >= mMinSpeed;
    }
}
