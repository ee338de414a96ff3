package org.boragegap.core.cell;

/** Shares, in percent, of what goes wrong on its way in a history at this moment. */
final class FaultRates {
    /** Answers of targets that are lost. */
    int mLostAnswers;

    /** Orders that are carried out seconds later, and not answered. */
    int mLateOrders;

    /** Messages between entry VMs that are held up for a while. */
    int mLateMessages;

    /** Answers of targets that come some hundred ms late. */
    int mSlowAnswers;
}
