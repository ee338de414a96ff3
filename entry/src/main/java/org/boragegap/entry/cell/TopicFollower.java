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
final class TopicFollower {
    private static final Logger sLog = LogManager.getLogger(TopicFollower.class);

    /** Pause after a read that failed, in ms. */
    private static final long RETRY_MS = 200;

    /**
     * How long an answer is waited for beyond the time for which the store may hold it back, in ms.
     * A connection can go silent for good; a store that is slow takes a quarter of a second.
     */
    private static final long ANSWER_WITHIN_MS = 500;

    private final StoreClient mStore;
    private final ScheduledExecutorService mTimer;
    private final String mTopic;
    private final long mWaitMs;
    private final long mPauseMs;
    private final Consumer<Map<String, byte[]>> mChanged;
    private final Map<String, byte[]> mRecords = new HashMap<>();
    private final Map<String, byte[]> mSnapshot = new HashMap<>();
    private long mNext = -1;
    private long mSnapshotEnd;
    private boolean mLost;
    private int mRound;

    /**
     * Makes a follower.
     *
     * @param waitMs how long the store may wait for a record before it answers, in ms
     * @param pauseMs between two reads, in ms
     * @param changed takes all records after each change
     */
    TopicFollower(
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
        mChanged = changed;
    }

    void start() {
        mTimer.execute(
                () -> {
                    int round = ++mRound;
                    mNext = -1;
                    snapshot(round, "");
                });
    }

    void stop() {
        mTimer.execute(() -> mRound++);
    }

    private void snapshot(int round, String after) {
        if (round != mRound) {
            return;
        }
        if (after.isEmpty()) {
            mSnapshot.clear();
        }
        mStore.newest(
                mTopic,
                after,
                ANSWER_WITHIN_MS,
                result -> mTimer.execute(() -> snapshotRead(round, after, result)));
    }

    private void snapshotRead(int round, String after, StoreResult<KeyedPage> result) {
        if (round != mRound) {
            return;
        }
        if (!(result instanceof StoreResult.Good<KeyedPage> good)) {
            lost(result);
            mTimer.schedule(() -> snapshot(round, ""), RETRY_MS, TimeUnit.MILLISECONDS);
            return;
        }
        regained();
        KeyedPage page = good.value();
        if (after.isEmpty()) {
            // Pages are not taken at one moment: what changes meanwhile is read from here on.
            mSnapshotEnd = page.next();
        }
        apply(page, mSnapshot);
        if (page.more() && !page.records().isEmpty()) {
            snapshot(round, page.records().get(page.records().size() - 1).key());
            return;
        }
        mRecords.clear();
        mRecords.putAll(mSnapshot);
        mNext = mSnapshotEnd;
        mChanged.accept(Map.copyOf(mRecords));
        readOn(round);
    }

    private void readOn(int round) {
        mTimer.schedule(() -> read(round), mPauseMs, TimeUnit.MILLISECONDS);
    }

    private void read(int round) {
        if (round != mRound) {
            return;
        }
        mStore.read(
                mTopic,
                mNext,
                mWaitMs,
                mWaitMs + ANSWER_WITHIN_MS,
                result -> mTimer.execute(() -> changesRead(round, result)));
    }

    private void changesRead(int round, StoreResult<KeyedPage> result) {
        if (round != mRound) {
            return;
        }
        if (result instanceof StoreResult.HistoryGone) {
            sLog.info("records of {} from {} on are deleted: reads the newest", mTopic, mNext);
            snapshot(round, "");
            return;
        }
        if (!(result instanceof StoreResult.Good<KeyedPage> good)) {
            lost(result);
            mTimer.schedule(() -> read(round), RETRY_MS, TimeUnit.MILLISECONDS);
            return;
        }
        regained();
        KeyedPage page = good.value();
        mNext = page.next();
        if (!page.records().isEmpty()) {
            apply(page, mRecords);
            mChanged.accept(Map.copyOf(mRecords));
        }
        readOn(round);
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

    private void lost(StoreResult<KeyedPage> result) {
        if (!mLost) {
            sLog.warn("topic {} can't be read: {}", mTopic, result);
        }
        mLost = true;
    }

    private void regained() {
        if (mLost) {
            sLog.info("topic {} can be read again, from {}", mTopic, mNext);
        }
        mLost = false;
    }
}
