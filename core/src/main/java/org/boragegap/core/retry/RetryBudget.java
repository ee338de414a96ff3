package org.boragegap.core.retry;

/**
 * Bounds retries to a share of first tries, so that a cut or a mass restart makes no storm.
 *
 * <p>Each first try earns a part of a retry; each retry spends a whole one; savings are capped.
 */
public final class RetryBudget {
    private final double mShare;
    private final double mCap;
    private double mSaved;

    private RetryBudget(double share, double cap) {
        mShare = share;
        mCap = cap;
        mSaved = cap;
    }

    /**
     * Makes a full budget.
     *
     * @param share retries earned by one first try
     * @param cap most retries that can be saved up
     */
    public static RetryBudget create(double share, double cap) {
        return new RetryBudget(share, cap);
    }

    /** Counts a first try. */
    public void onFirstTry() {
        mSaved = Math.min(mCap, mSaved + mShare);
    }

    /** Spends a retry if there is one. */
    public boolean trySpend() {
        if (mSaved < 1) {
            return false;
        }
        mSaved--;
        return true;
    }
}
