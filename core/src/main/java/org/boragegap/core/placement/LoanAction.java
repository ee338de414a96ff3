package org.boragegap.core.placement;

/**
 * A loan message to be sent.
 *
 * @param address peer address of the receiver
 * @param message the message
 */
public record LoanAction(String address, LoanMessage message) {}
