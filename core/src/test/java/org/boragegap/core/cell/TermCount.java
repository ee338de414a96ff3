package org.boragegap.core.cell;

/** Counts the terms of a cell, and how often it went from one VM to another. */
final class TermCount {
    private String mLastController = "";
    private int mTerms;
    private int mChangesOfHands;

    void began(String controller) {
        mTerms++;
        if (!mLastController.isEmpty() && !mLastController.equals(controller)) {
            mChangesOfHands++;
        }
        mLastController = controller;
    }

    int count() {
        return mTerms;
    }

    int changesOfHands() {
        return mChangesOfHands;
    }
}
