package org.boragegap.core.loan;

/**
 * A loan of one target.
 *
 * @param id number of the loan, unique within the lender's term
 * @param target id of the target
 */
public record TargetLoan(long id, String target) {}
