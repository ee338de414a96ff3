package org.boragegap.core.limit;

/** In which order queued jobs are served. */
public enum QueueOrder {
    /** First come, first served; the baseline. */
    FIFO(false),
    /** Fair among teams, and within a team urgent kinds first, then the smallest job. */
    FAIR(true);

    private final boolean mFair;

    QueueOrder(boolean fair) {
        mFair = fair;
    }

    /** True when teams are served by their share, and jobs by their size. */
    public boolean fair() {
        return mFair;
    }
}
