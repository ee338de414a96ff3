package org.boragegap.core.retry;

/**
 * Limits retries to a share of first attempts, so that a network partition or a mass restart causes
 * no retry storm.
 *
 * <p>A token bucket: each first attempt adds a fraction of a token, each retry takes a whole one,
 * and the number of tokens is limited.
 */
public final class RetryBudget {
    private final double mTokensPerFirstAttempt;
    private final double mMaxTokens;
    private double mTokens;

    private RetryBudget(double tokensPerFirstAttempt, double maxTokens) {
        mTokensPerFirstAttempt = tokensPerFirstAttempt;
        mMaxTokens = maxTokens;
        mTokens = maxTokens;
    }

    /**
     * Makes a full budget.
     *
     * @param tokensPerFirstAttempt tokens added by one first attempt
     * @param maxTokens most tokens that the budget can hold
     */
    public static RetryBudget create(double tokensPerFirstAttempt, double maxTokens) {
        return new RetryBudget(tokensPerFirstAttempt, maxTokens);
    }

    /** Adds the tokens of a first attempt. */
    public void onFirstAttempt() {
        mTokens = Math.min(mMaxTokens, mTokens + mTokensPerFirstAttempt);
    }

    /** Takes a token for a retry; false when there is none. */
    public boolean trySpend() {
        if (mTokens < 1) {
            return false;
        }
        mTokens--;
        return true;
    }
}
