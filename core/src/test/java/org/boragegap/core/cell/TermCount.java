package org.boragegap.core.cell;

import java.util.ArrayList;
import java.util.List;

/** Counts the terms of a cell, and how often it went from one VM to another. */
final class TermCount {
    private String mLastController = "";
    private final List<Long> mAskedMs = new ArrayList<>();
    private int mTerms;
    private int mChangesOfHands;

    void began(String controller) {
        mTerms++;
        if (!mLastController.isEmpty() && !mLastController.equals(controller)) {
            mChangesOfHands++;
        }
        mLastController = controller;
    }

    /** A VM asks for the cell. */
    void asked(long nowMs) {
        mAskedMs.add(nowMs);
    }

    /** How often a VM asked for the cell from a time on. */
    long askedSince(long ms) {
        return mAskedMs.stream().filter(at -> at >= ms).count();
    }

    int count() {
        return mTerms;
    }

    int changesOfHands() {
        return mChangesOfHands;
    }
}
