package org.boragegap.core.loan;

/**
 * How long a loan lasts for the borrower and for the lender. The lender counts from its grant and
 * adds a margin; the borrower counts from its request, which is no later than the grant.
 *
 * @param termMs how long the borrower may use what is lent, in ms
 * @param marginMs how much longer the lender waits for a borrower that doesn't return it, in ms
 */
public record LoanTerm(long termMs, long marginMs) {

    /** When the lender may take back what it grants now and nobody returns. */
    public long lenderEndMs(long grantedMs) {
        return grantedMs + termMs + marginMs;
    }

    /**
     * Until when the borrower may use a loan, on its own clock. The time of the grant isn't known
     * to the borrower, but it is no earlier than the request.
     */
    public static long borrowerEndMs(long requestSentMs, long receivedMs, long termMs) {
        return Math.min(requestSentMs, receivedMs) + termMs;
    }
}
