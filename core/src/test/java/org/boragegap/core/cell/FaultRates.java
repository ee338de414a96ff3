package org.boragegap.core.cell;

/** Current rates of the failures in a history, in percent. */
final class FaultRates {
    /** Answers of targets that are lost. */
    int mLostAnswers;

    /** Orders that are executed after their timeout, up to seconds later, and not answered. */
    int mLateOrders;

    /** Messages between entry VMs that are delayed. */
    int mLateMessages;

    /** Answers of targets that arrive some hundred ms late. */
    int mSlowAnswers;
}
