package org.boragegap.standin;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.boragegap.http.HttpEndpoint;
import org.boragegap.http.IncomingRequest;
import org.boragegap.platform.LogPage;
import org.boragegap.platform.PlatformJson;

/**
 * In-memory stand-in for the platform's append-only log.
 *
 * <p>It can listen on several ports, each with its own mode, so that a test can cut off one failure
 * domain and not the others.
 */
public final class LogStandin implements Standin {
    private static final int MAX_BODY_BYTES = 1024 * 1024;
    private static final int MAX_PAGE_RECORDS = 500;
    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final int NOT_FOUND = 404;

    private final List<HttpEndpoint> mEndpoints = new ArrayList<>();
    private final LogMode[] mModes;
    private final long mRetentionMs;
    private final Deque<LogPage.Item> mRecords = new ArrayDeque<>();
    private final ScheduledExecutorService mScheduler =
            Executors.newSingleThreadScheduledExecutor();
    private long mNextOffset;
    private volatile long mSlowMs = 500;
    private long mAppends;
    private long mReads;

    private LogStandin(String host, List<Integer> ports, long retentionMs) {
        mRetentionMs = retentionMs;
        mModes = new LogMode[ports.size()];
        for (int i = 0; i < ports.size(); i++) {
            int listener = i;
            mModes[i] = LogMode.UP;
            mEndpoints.add(
                    HttpEndpoint.create(
                            "log-" + i,
                            host,
                            ports.get(i),
                            MAX_BODY_BYTES,
                            request -> handle(listener, request)));
        }
    }

    /** Creates a log that listens on the given ports. */
    public static LogStandin create(String host, List<Integer> ports, long retentionMs) {
        return new LogStandin(host, ports, retentionMs);
    }

    @Override
    public void start() throws IOException {
        for (HttpEndpoint endpoint : mEndpoints) {
            endpoint.start();
        }
    }

    @Override
    public void stop() {
        mEndpoints.forEach(HttpEndpoint::stop);
        mScheduler.shutdownNow();
    }

    private void handle(int listener, IncomingRequest request) {
        if (request.path().equals("/control")) {
            control(request);
        } else if (request.path().equals("/stats")) {
            request.reply(OK, "{\"appends\":" + mAppends + ",\"reads\":" + mReads + "}");
        } else if (mModes[listener] == LogMode.SLOW) {
            mScheduler.schedule(() -> serve(listener, request), mSlowMs, TimeUnit.MILLISECONDS);
        } else {
            serve(listener, request);
        }
    }

    private void control(IncomingRequest request) {
        try {
            LogMode mode = LogMode.valueOf(request.query("mode").orElse("UP"));
            mSlowMs = Long.parseLong(request.query("slowMs").orElse("500"));
            int listener = Integer.parseInt(request.query("listener").orElse("-1"));
            for (int i = 0; i < mModes.length; i++) {
                if (listener < 0 || listener == i) {
                    mModes[i] = mode;
                }
            }
            request.reply(OK, "{}");
        } catch (IllegalArgumentException e) {
            request.reply(BAD_REQUEST, "{\"error\":\"bad control\"}");
        }
    }

    private synchronized void serve(int listener, IncomingRequest request) {
        LogMode mode = mModes[listener];
        if (!mode.appends()) {
            request.drop();
            return;
        }
        removeExpired();
        if (request.path().equals("/append")) {
            mAppends++;
            mRecords.add(
                    new LogPage.Item(mNextOffset++, System.currentTimeMillis(), request.text()));
            answer(mode, request, "{\"offset\":" + (mNextOffset - 1) + "}");
        } else if (request.path().equals("/read")) {
            mReads++;
            answer(mode, request, PlatformJson.write(page(parseFrom(request))));
        } else {
            request.reply(NOT_FOUND, "{\"error\":\"no such path\"}");
        }
    }

    private static long parseFrom(IncomingRequest request) {
        try {
            return Long.parseLong(request.query("from").orElse("0"));
        } catch (NumberFormatException e) {
            return 0;
        }
    }

    private static void answer(LogMode mode, IncomingRequest request, String json) {
        if (mode.replies()) {
            request.reply(OK, json);
        } else {
            request.drop();
        }
    }

    private void removeExpired() {
        long oldest = System.currentTimeMillis() - mRetentionMs;
        while (!mRecords.isEmpty() && mRecords.peek().atMs() < oldest) {
            mRecords.poll();
        }
    }

    private LogPage page(long from) {
        List<LogPage.Item> items = new ArrayList<>();
        for (LogPage.Item item : mRecords) {
            if (item.offset() >= from && items.size() < MAX_PAGE_RECORDS) {
                items.add(item);
            }
        }
        long first = mRecords.isEmpty() ? mNextOffset : mRecords.peek().offset();
        long next = items.isEmpty() ? mNextOffset : items.get(items.size() - 1).offset() + 1;
        return new LogPage(
                first, next, mNextOffset, System.currentTimeMillis(), mRetentionMs, items);
    }
}
