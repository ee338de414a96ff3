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
 * Watches a keyed topic of the platform's store: reads the newest record of each key, then each
 * change.
 *
 * <p>When the store has deleted records that were not read yet, it starts over from the newest
 * records. All state is confined to the timer's thread.
 */
final class TopicWatcher {
    private static final Logger sLog = LogManager.getLogger(TopicWatcher.class);

    /** Pause after a read that failed, in ms. */
    private static final long RETRY_MS = 200;

    /**
     * How long to wait for an answer, in ms, beyond the time for which the store may wait for a
     * record. A connection can go silent permanently; a store that is slow takes a quarter of a
     * second.
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
     * Creates a watcher that is not started.
     *
     * @param waitMs how long the store may wait for a record before it answers, in ms
     * @param pauseMs pause between two reads, in ms
     * @param listener receives all records after each change
     */
    TopicWatcher(
            StoreClient store,
            ScheduledExecutorService timer,
            String topic,
            long waitMs,
            long pauseMs,
            Consumer<Map<String, byte[]>> listener) {
        mStore = store;
        mTimer = timer;
        mTopic = topic;
        mWaitMs = waitMs;
        mPauseMs = pauseMs;
        mListener = listener;
    }

    void start() {
        mTimer.execute(
                () -> {
                    int epoch = ++mEpoch;
                    mNextOffset = -1;
                    readSnapshot(epoch, "");
                });
    }

    void stop() {
        mTimer.execute(() -> mEpoch++);
    }

    private void readSnapshot(int epoch, String after) {
        if (epoch != mEpoch) {
            return;
        }
        if (after.isEmpty()) {
            mSnapshot.clear();
        }
        mStore.newest(
                mTopic,
                after,
                ANSWER_TIMEOUT_MS,
                result -> mTimer.execute(() -> snapshotRead(epoch, after, result)));
    }

    private void snapshotRead(int epoch, String after, StoreResult<KeyedPage> result) {
        if (epoch != mEpoch) {
            return;
        }
        if (!(result instanceof StoreResult.Success<KeyedPage> good)) {
            readFailed(result);
            mTimer.schedule(() -> readSnapshot(epoch, ""), RETRY_MS, TimeUnit.MILLISECONDS);
            return;
        }
        readSucceeded();
        KeyedPage page = good.value();
        if (after.isEmpty()) {
            // The pages are not read at one moment: later changes are read from this offset on.
            mSnapshotEnd = page.next();
        }
        apply(page, mSnapshot);
        if (page.hasMore() && !page.records().isEmpty()) {
            readSnapshot(epoch, page.records().get(page.records().size() - 1).key());
            return;
        }
        mRecords.clear();
        mRecords.putAll(mSnapshot);
        mNextOffset = mSnapshotEnd;
        notifyListener();
        scheduleRead(epoch);
    }

    private void scheduleRead(int epoch) {
        mTimer.schedule(() -> readChanges(epoch), mPauseMs, TimeUnit.MILLISECONDS);
    }

    private void readChanges(int epoch) {
        if (epoch != mEpoch) {
            return;
        }
        mStore.read(
                mTopic,
                mNextOffset,
                mWaitMs,
                mWaitMs + ANSWER_TIMEOUT_MS,
                result -> mTimer.execute(() -> changesRead(epoch, result)));
    }

    private void changesRead(int epoch, StoreResult<KeyedPage> result) {
        if (epoch != mEpoch) {
            return;
        }
        if (result instanceof StoreResult.RecordsDeleted) {
            sLog.info(
                    "records of topic {} from {} on are deleted, reading the newest ones",
                    mTopic,
                    mNextOffset);
            readSnapshot(epoch, "");
            return;
        }
        if (!(result instanceof StoreResult.Success<KeyedPage> good)) {
            readFailed(result);
            mTimer.schedule(() -> readChanges(epoch), RETRY_MS, TimeUnit.MILLISECONDS);
            return;
        }
        readSucceeded();
        KeyedPage page = good.value();
        mNextOffset = page.next();
        if (!page.records().isEmpty()) {
            apply(page, mRecords);
            notifyListener();
        }
        scheduleRead(epoch);
    }

    private void notifyListener() {
        try {
            mListener.accept(Map.copyOf(mRecords));
        } catch (RuntimeException e) {
            // Records that can't be handled must not end the watch, and with it all later ones.
            sLog.error("records of topic {} can't be handled", mTopic, e);
        }
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
