package org.boragegap.core.retry;

/**
 * Bounds retries to a share of first tries, so that a cut or a mass restart makes no storm.
 *
 * <p>Each first try earns a part of a retry; each retry spends a whole one; savings are capped.
 */
public final class RetryBudget {
    private final double mTokensPerFirstAttempt;
    private final double mMaxTokens;
    private double mTokens;

    private RetryBudget(double share, double cap) {
        mTokensPerFirstAttempt = share;
        mMaxTokens = cap;
        mTokens = cap;
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
    public void onFirstAttempt() {
        mTokens = Math.min(mMaxTokens, mTokens + mTokensPerFirstAttempt);
    }

    /** Spends a retry if there is one. */
    public boolean trySpend() {
        if (mTokens < 1) {
            return false;
        }
        mTokens--;
        return true;
    }
}
