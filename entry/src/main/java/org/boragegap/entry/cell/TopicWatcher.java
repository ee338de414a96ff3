package org.boragegap.entry.cell;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.boragegap.platform.KeyedPage;
import org.boragegap.platform.KeyedRecord;
import org.boragegap.platform.StoreClient;
import org.boragegap.platform.StoreResult;

/**
 * Follows a keyed topic of the platform's store: the newest record of each key, then each change.
 *
 * <p>When the store has deleted records that were not read yet, it starts over from the newest
 * records. All its state belongs to the timer's thread.
 */
final class TopicWatcher {
    private static final Logger sLog = LogManager.getLogger(TopicWatcher.class);

    /** Pause after a read that failed, in ms. */
    private static final long RETRY_MS = 200;

    /**
     * How long an answer is waited for beyond the time for which the store may hold it back, in ms.
     * A connection can go silent for good; a store that is slow takes a quarter of a second.
     */
    private static final long ANSWER_TIMEOUT_MS = 500;

    private final StoreClient mStore;
    private final ScheduledExecutorService mTimer;
    private final String mTopic;
    private final long mWaitMs;
    private final long mPauseMs;
    private final Consumer<Map<String, byte[]>> mListener;
    private final Map<String, byte[]> mRecords = new HashMap<>();
    private final Map<String, byte[]> mSnapshot = new HashMap<>();
    private long mNextOffset = -1;
    private long mSnapshotEnd;
    private boolean mReadFailing;
    private int mEpoch;

    /**
     * Makes a follower.
     *
     * @param waitMs how long the store may wait for a record before it answers, in ms
     * @param pauseMs between two reads, in ms
     * @param changed takes all records after each change
     */
    TopicWatcher(
            StoreClient store,
            ScheduledExecutorService timer,
            String topic,
            long waitMs,
            long pauseMs,
            Consumer<Map<String, byte[]>> changed) {
        mStore = store;
        mTimer = timer;
        mTopic = topic;
        mWaitMs = waitMs;
        mPauseMs = pauseMs;
        mListener = changed;
    }

    void start() {
        mTimer.execute(
                () -> {
                    int round = ++mEpoch;
                    mNextOffset = -1;
                    readSnapshot(round, "");
                });
    }

    void stop() {
        mTimer.execute(() -> mEpoch++);
    }

    private void readSnapshot(int round, String after) {
        if (round != mEpoch) {
            return;
        }
        if (after.isEmpty()) {
            mSnapshot.clear();
        }
        mStore.newest(
                mTopic,
                after,
                ANSWER_TIMEOUT_MS,
                result -> mTimer.execute(() -> snapshotRead(round, after, result)));
    }

    private void snapshotRead(int round, String after, StoreResult<KeyedPage> result) {
        if (round != mEpoch) {
            return;
        }
        if (!(result instanceof StoreResult.Success<KeyedPage> good)) {
            readFailed(result);
            mTimer.schedule(() -> readSnapshot(round, ""), RETRY_MS, TimeUnit.MILLISECONDS);
            return;
        }
        readSucceeded();
        KeyedPage page = good.value();
        if (after.isEmpty()) {
            // Pages are not taken at one moment: what changes meanwhile is read from here on.
            mSnapshotEnd = page.next();
        }
        apply(page, mSnapshot);
        if (page.hasMore() && !page.records().isEmpty()) {
            readSnapshot(round, page.records().get(page.records().size() - 1).key());
            return;
        }
        mRecords.clear();
        mRecords.putAll(mSnapshot);
        mNextOffset = mSnapshotEnd;
        mListener.accept(Map.copyOf(mRecords));
        scheduleRead(round);
    }

    private void scheduleRead(int round) {
        mTimer.schedule(() -> readChanges(round), mPauseMs, TimeUnit.MILLISECONDS);
    }

    private void readChanges(int round) {
        if (round != mEpoch) {
            return;
        }
        mStore.read(
                mTopic,
                mNextOffset,
                mWaitMs,
                mWaitMs + ANSWER_TIMEOUT_MS,
                result -> mTimer.execute(() -> changesRead(round, result)));
    }

    private void changesRead(int round, StoreResult<KeyedPage> result) {
        if (round != mEpoch) {
            return;
        }
        if (result instanceof StoreResult.RecordsDeleted) {
            sLog.info(
                    "records of {} from {} on are deleted: reads the newest", mTopic, mNextOffset);
            readSnapshot(round, "");
            return;
        }
        if (!(result instanceof StoreResult.Success<KeyedPage> good)) {
            readFailed(result);
            mTimer.schedule(() -> readChanges(round), RETRY_MS, TimeUnit.MILLISECONDS);
            return;
        }
        readSucceeded();
        KeyedPage page = good.value();
        mNextOffset = page.next();
        if (!page.records().isEmpty()) {
            apply(page, mRecords);
            mListener.accept(Map.copyOf(mRecords));
        }
        scheduleRead(round);
    }

    private static void apply(KeyedPage page, Map<String, byte[]> records) {
        for (KeyedRecord record : page.records()) {
            if (record.deleted()) {
                records.remove(record.key());
            } else {
                records.put(record.key(), record.value());
            }
        }
    }

    private void readFailed(StoreResult<KeyedPage> result) {
        if (!mReadFailing) {
            sLog.warn("topic {} can't be read: {}", mTopic, result);
        }
        mReadFailing = true;
    }

    private void readSucceeded() {
        if (mReadFailing) {
            sLog.info("topic {} can be read again, from {}", mTopic, mNextOffset);
        }
        mReadFailing = false;
    }
}
