package org.boragegap.core.placement;

/**
 * A message about loans that is to be sent.
 *
 * @param address peer address
 * @param message the message
 */
public record LoanAction(String address, LoanMessage message) {}
