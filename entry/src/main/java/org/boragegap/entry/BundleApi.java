package org.boragegap.entry;

import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.boragegap.core.bundle.Bundle;
import org.boragegap.core.bundle.BundleChain;
import org.boragegap.core.bundle.BundleRecord;
import org.boragegap.core.bundle.CheckedBundle;
import org.boragegap.core.dispatch.Dispatcher;
import org.boragegap.http.HttpClient;
import org.boragegap.http.IncomingRequest;
import org.boragegap.platform.LogClient;
import org.boragegap.platform.LogEntry;
import org.boragegap.platform.PlatformException;
import org.boragegap.platform.PlatformJson;

/**
 * HTTP handlers that publish a bundle and return the active one.
 *
 * <p>The reply to a publication is based on reading the log back. So an append whose reply was lost
 * can be distinguished from one that did not.
 */
final class BundleApi {
    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final int CONFLICT = 409;
    private static final int TIMEOUT = 504;
    private static final long PUBLICATION_TIMEOUT_MS = 10_000;
    private static final long CHECK_INTERVAL_MS = 50;

    /** The active bundle, as JSON. */
    private record Status(long version, String publication, long sinceMs) {}

    private final LogClient mLog;
    private final BundleChecker mChecker;
    private final ScheduledExecutorService mTimer;
    private final ControlLoop mLoop;
    private final LogPoller mLogPoller;

    BundleApi(
            LogClient log,
            BundleChecker checker,
            ScheduledExecutorService timer,
            ControlLoop loop,
            LogPoller logPoller) {
        mLog = log;
        mChecker = checker;
        mTimer = timer;
        mLoop = loop;
        mLogPoller = logPoller;
    }

    void status(IncomingRequest in) {
        mLoop.query(BundleApi::status)
                .thenAccept(status -> in.reply(OK, PlatformJson.write(status)));
    }

    private static Status status(Dispatcher dispatcher) {
        String publication =
                dispatcher
                        .bundles()
                        .active()
                        .map(checked -> checked.bundle().publication())
                        .orElse("");
        return new Status(
                dispatcher.bundles().version(),
                publication,
                dispatcher.bundles().activeSinceWallMs());
    }

    void publish(IncomingRequest in) {
        Bundle bundle;
        try {
            bundle = PlatformJson.read(in.text(), Bundle.class);
        } catch (PlatformException e) {
            reject(in, BAD_REQUEST, "the body is not a bundle");
            return;
        }
        if (bundle.publication() == null || bundle.signatures() == null || bundle.body() == null) {
            reject(in, BAD_REQUEST, "a bundle has publication, body and signatures");
            return;
        }
        CheckedBundle checked = mChecker.check(bundle);
        if (checked.content().isEmpty()) {
            reject(in, BAD_REQUEST, checked.problem());
            return;
        }
        LogEntry entry = new LogEntry.Configuration(BundleRecord.Kind.PUBLISHED, -1, bundle);
        long endMs = HttpClient.nowMs() + PUBLICATION_TIMEOUT_MS;
        mLog.append(entry, acknowledged -> awaitResult(in, bundle, endMs));
    }

    private void awaitResult(IncomingRequest in, Bundle bundle, long endMs) {
        mLogPoller.poll();
        mLoop.query(dispatcher -> dispatcher.bundles().publicationResult(bundle.publication()))
                .thenAccept(result -> onResult(in, bundle, endMs, result));
    }

    private void onResult(IncomingRequest in, Bundle bundle, long endMs, Optional<String> result) {
        if (result.isPresent() && BundleChain.isAccepted(result.get())) {
            in.reply(OK, "{\"accepted\":true,\"version\":" + bundle.version() + "}");
        } else if (result.isPresent()) {
            reject(in, CONFLICT, result.get());
        } else if (HttpClient.nowMs() > endMs) {
            reject(in, TIMEOUT, "the log did not show it; it may still take effect");
        } else {
            mTimer.schedule(
                    () -> awaitResult(in, bundle, endMs), CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
        }
    }

    private static void reject(IncomingRequest in, int status, String detail) {
        CallerApi.replyProblem(in, Problem.ofStatus(status, "Bundle not accepted", detail));
    }
}
