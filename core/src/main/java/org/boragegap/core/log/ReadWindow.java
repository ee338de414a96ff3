package org.boragegap.core.log;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/**
 * The records that one reader has read from the log without a gap.
 *
 * <p>The log keeps records for a limited time. A reader that starts late, or was disconnected for
 * too long, has missed some and must not draw conclusions from the remaining ones: a record may
 * have no effect because of an earlier one that the log no longer holds. The reader may start from
 * a statement, which gives the state after all records up to an offset, if it has every record
 * after that offset.
 *
 * @param <T> the type of the records
 */
public final class ReadWindow<T extends LogRecord> {
    private static final long NOTHING_READ = -1;

    private final Deque<T> mRecords = new ArrayDeque<>();
    private long mFirstOffset = NOTHING_READ;
    private long mCompleteSinceMs;

    private ReadWindow() {}

    /** Makes the window of a reader that has read nothing yet. */
    public static <T extends LogRecord> ReadWindow<T> create() {
        return new ReadWindow<>();
    }

    /**
     * Sets the offset from which on every record has been read. Returns true when it has advanced:
     * records before it were missed, so the window is emptied and conclusions from earlier records
     * are no longer valid. The first call returns true as well.
     *
     * @param firstOffset first offset of the window
     * @param nowMs time of the read by the log's clock
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

    /** Adds the next record in log order. */
    public void add(T record) {
        mRecords.addLast(record);
    }

    /** Removes records appended before this time, which the log no longer holds. */
    public void removeBefore(long appendedMs) {
        while (!mRecords.isEmpty() && mRecords.peekFirst().appendedMs() < appendedMs) {
            mRecords.pollFirst();
        }
    }

    /** True when the window contains no record. */
    public boolean isEmpty() {
        return mRecords.isEmpty();
    }

    /** True when every record after this offset has been read. */
    public boolean isCompleteAfter(long offset) {
        return offset >= mFirstOffset - 1;
    }

    /** The records after an offset, in log order. */
    public List<T> recordsAfter(long offset) {
        return mRecords.stream().filter(record -> record.offset() > offset).toList();
    }

    /**
     * True when the newest record was the only one in the log at the time of its append. A reader
     * whose window begins after that time can't tell, since the log may have removed another record
     * before the reader started; the result is then false.
     */
    public boolean newestWasOnlyRecord() {
        return mRecords.size() == 1 && mRecords.peekFirst().appendedMs() >= mCompleteSinceMs;
    }
}
