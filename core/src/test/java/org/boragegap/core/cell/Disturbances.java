package org.boragegap.core.cell;

/** Shares, in percent, of what goes wrong on its way in a history at this moment. */
final class Disturbances {
    /** Answers of targets that are lost. */
    int mLost;

    /** Orders that are carried out seconds later, and not answered. */
    int mLate;

    /** Messages between entry VMs that are held up for a while. */
    int mHeld;

    /** Answers of targets that come some hundred ms late. */
    int mSlow;
}
