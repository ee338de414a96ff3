package org.boragegap.core.log;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/**
 * What one reader has read of the log without a gap.
 *
 * <p>The log keeps records for a limited time. A reader that starts late, or was away for too long,
 * has missed some and must not conclude from what is left: a record may have lost to one that is no
 * longer there. It may start from a statement, which says what was true after all records up to an
 * offset, if it has every record after that one.
 *
 * @param <T> the kind of record that is kept
 */
public final class ReadWindow<T extends LogRecord> {
    private static final long NOTHING_READ = -1;

    private final Deque<T> mRecords = new ArrayDeque<>();
    private long mFirstOffset = NOTHING_READ;
    private long mCompleteSinceMs;

    private ReadWindow() {}

    /** A window of a reader that has read nothing yet. */
    public static <T extends LogRecord> ReadWindow<T> create() {
        return new ReadWindow<>();
    }

    /**
     * Tells from which offset on everything has been read; true when there was a gap, and what was
     * concluded before is void.
     *
     * @param firstOffset first offset of the window
     * @param nowMs the log's time of the read
     */
    public boolean advanceFirstOffset(long firstOffset, long nowMs) {
        if (firstOffset <= mFirstOffset) {
            return false;
        }
        mRecords.clear();
        mFirstOffset = firstOffset;
        mCompleteSinceMs = firstOffset == 0 ? Long.MIN_VALUE : nowMs;
        return true;
    }

    /** Adds the next record. */
    public void add(T item) {
        mRecords.addLast(item);
    }

    /** Forgets records that have left the log. */
    public void removeBefore(long appendedMs) {
        while (!mRecords.isEmpty() && mRecords.peekFirst().appendedMs() < appendedMs) {
            mRecords.pollFirst();
        }
    }

    /** True when no record is kept. */
    public boolean isEmpty() {
        return mRecords.isEmpty();
    }

    /** True when every record after {@code asOf} has been read. */
    public boolean isCompleteAfter(long asOf) {
        return asOf >= mFirstOffset - 1;
    }

    /** The kept records after an offset, in order. */
    public List<T> recordsAfter(long asOf) {
        return mRecords.stream().filter(item -> item.offset() > asOf).toList();
    }

    /**
     * True when the newest record is the only one that was on the log at its time. Only a reader
     * that was there before can tell: for a later one, another record may have left the log.
     */
    public boolean newestWasOnlyRecord() {
        return mRecords.size() == 1 && mRecords.peekFirst().appendedMs() >= mCompleteSinceMs;
    }
}
