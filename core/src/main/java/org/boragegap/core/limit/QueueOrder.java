package org.boragegap.core.limit;

/** The order in which queued jobs are served. */
public enum QueueOrder {
    /** First come, first served; a baseline for comparison. */
    FIFO(false),
    /**
     * Weighted fair sharing among teams; within a team urgent kinds first, then the smallest job.
     */
    FAIR(true);

    private final boolean mFair;

    QueueOrder(boolean fair) {
        mFair = fair;
    }

    /** True when teams are served according to their share and jobs according to their size. */
    public boolean fair() {
        return mFair;
    }
}
