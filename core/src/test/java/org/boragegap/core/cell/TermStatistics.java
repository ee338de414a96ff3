package org.boragegap.core.cell;

import java.util.ArrayList;
import java.util.List;

/** Counts the terms of a cell, and how often it went from one VM to another. */
final class TermStatistics {
    private String mLastController = "";
    private final List<Long> mCandidaciesMs = new ArrayList<>();
    private int mTerms;
    private int mControllerChanges;

    void recordTerm(String controller) {
        mTerms++;
        if (!mLastController.isEmpty() && !mLastController.equals(controller)) {
            mControllerChanges++;
        }
        mLastController = controller;
    }

    /** A VM asks for the cell. */
    void recordCandidacy(long nowMs) {
        mCandidaciesMs.add(nowMs);
    }

    /** How often a VM asked for the cell from a time on. */
    long candidaciesSince(long ms) {
        return mCandidaciesMs.stream().filter(at -> at >= ms).count();
    }

    int count() {
        return mTerms;
    }

    int controllerChanges() {
        return mControllerChanges;
    }
}
