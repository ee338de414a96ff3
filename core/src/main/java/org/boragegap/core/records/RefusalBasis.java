package org.boragegap.core.records;

/** What is known about earlier starts of a job that is about to be refused. */
public enum RefusalBasis {
    /** The records are complete for the job and don't contain it. */
    NOT_STARTED,

    /** The records contain the job. */
    MAY_HAVE_STARTED,

    /** The records don't contain the job, but some are missing. */
    RECORDS_INCOMPLETE;

    /** True when the caller may be told that the job has not run. */
    public boolean allowsRefusal() {
        return this == NOT_STARTED;
    }
}
