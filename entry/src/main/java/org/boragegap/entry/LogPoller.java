package org.boragegap.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.boragegap.core.bundle.BundleRecord;
import org.boragegap.core.claim.LogBatch;
import org.boragegap.core.claim.LoggedView;
import org.boragegap.core.dispatch.Event;
import org.boragegap.http.HttpClient;
import org.boragegap.platform.LogClient;
import org.boragegap.platform.LogEntry;
import org.boragegap.platform.LogPage;
import org.boragegap.platform.PlatformException;
import org.boragegap.platform.PlatformJson;

/**
 * Reads the platform's log from its oldest record on. It polls for new records periodically and
 * after each append of this process, and posts what it has read as events.
 */
final class LogPoller {
    private static final Logger sLog = LogManager.getLogger(LogPoller.class);

    private final LogClient mLog;
    private final BundleChecker mChecker;
    private final Consumer<Event> mEventSink;
    private final ScheduledExecutorService mTimer;
    private final long mPollMs;
    private final AtomicBoolean mReadInProgress = new AtomicBoolean();
    private volatile long mNextOffset;
    private volatile long mFirstOffset;
    private volatile boolean mPageRead;

    LogPoller(
            LogClient log,
            BundleChecker checker,
            Consumer<Event> eventSink,
            ScheduledExecutorService timer,
            long pollMs) {
        mLog = log;
        mChecker = checker;
        mEventSink = eventSink;
        mTimer = timer;
        mPollMs = pollMs;
    }

    void start() {
        mTimer.scheduleWithFixedDelay(this::poll, 0, mPollMs, TimeUnit.MILLISECONDS);
    }

    /** Reads now, for instance after an append; does nothing while a read is in progress. */
    void poll() {
        if (!mReadInProgress.compareAndSet(false, true)) {
            return;
        }
        long sentMs = HttpClient.nowMs();
        mLog.read(mNextOffset, page -> onPage(page, sentMs));
    }

    private void onPage(Optional<LogPage> page, long sentMs) {
        try {
            page.ifPresent(read -> processPage(read, sentMs));
        } finally {
            mReadInProgress.set(false);
        }
        boolean more = page.isPresent() && page.get().next() < page.get().end();
        if (more) {
            poll();
        }
    }

    private void processPage(LogPage page, long sentMs) {
        if (page.first() > mNextOffset) {
            if (mPageRead) {
                sLog.warn("records {} to {} of the log were missed", mNextOffset, page.first());
            }
            mFirstOffset = page.first();
        }
        mPageRead = true;
        mNextOffset = page.next();
        List<LoggedView> views = new ArrayList<>();
        List<BundleRecord> bundles = new ArrayList<>();
        for (LogPage.Item item : page.records()) {
            classifyRecord(page, item, views, bundles);
        }
        boolean atEnd = page.next() >= page.end();
        LogBatch batch =
                new LogBatch(views, mFirstOffset, mNextOffset, page.nowMs(), atEnd, sentMs);
        mEventSink.accept(new Event.LogRead(batch, bundles));
    }

    private void classifyRecord(
            LogPage page, LogPage.Item item, List<LoggedView> views, List<BundleRecord> bundles) {
        try {
            LogEntry entry = PlatformJson.read(item.body(), LogEntry.class);
            if (entry instanceof LogEntry.View view) {
                long ageMs = page.nowMs() - item.atMs();
                views.add(new LoggedView(item.offset(), view.record(), item.atMs(), ageMs));
            } else if (entry instanceof LogEntry.Configuration configuration) {
                bundles.add(
                        new BundleRecord(
                                item.offset(),
                                item.atMs(),
                                configuration.kind(),
                                configuration.asOf(),
                                mChecker.check(configuration.bundle())));
            }
        } catch (PlatformException e) {
            // Other users of the log and later versions of this system may append records as well.
            sLog.debug(
                    "log record {} is skipped: it is not an entry of this version", item.offset());
        }
    }
}
