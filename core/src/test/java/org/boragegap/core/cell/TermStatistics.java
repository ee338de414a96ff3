package org.boragegap.core.cell;

import java.util.ArrayList;
import java.util.List;

/** Counts the terms of a cell, its moves from one VM to another, and the candidacies. */
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

    /** Records that a VM has become a candidate for the cell. */
    void recordCandidacy(long nowMs) {
        mCandidaciesMs.add(nowMs);
    }

    /** How many candidacies began at or after a time. */
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
