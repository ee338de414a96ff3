package org.boragegap.app;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.HdrHistogram.Histogram;
import org.boragegap.core.job.Resources;
import org.boragegap.http.HttpCall;
import org.boragegap.http.HttpClient;
import org.boragegap.http.HttpResult;
import org.boragegap.platform.PlatformJson;
import org.boragegap.platform.TaskOrder;

/** Compares round trips through an entry VM with the same requests sent directly to a minion. */
final class PathRun {
    private static final int[] IN_FLIGHT = {1, 64, 512};
    private static final int[] TASK_MS = {0, 50};
    private static final int MINION_SLOTS = 1_024;
    private static final int CONNECTIONS = 1_024;
    private static final long WARM_UP_MS = 3_000;
    private static final long RUN_MS = 4_000;
    private static final long TIMEOUT_MS = 10_000;
    private static final int OK = 200;
    private static final double US_PER_MS = 1_000.0;

    /**
     * Results for one run time and one number of concurrent requests.
     *
     * @param taskMs run time of the task
     * @param inFlight concurrent requests
     * @param directP50Ms median round trip directly to the minion
     * @param directP99Ms 99th percentile directly to the minion
     * @param entryP50Ms median round trip through the entry VM
     * @param entryP99Ms 99th percentile through the entry VM
     * @param ratioP50 ratio of the medians, entry to direct
     * @param ratioP99 ratio of the 99th percentiles, entry to direct
     * @param entryPerSecond requests per second through the entry VM
     * @param failed requests that were not completed
     */
    record Line(
            int taskMs,
            int inFlight,
            double directP50Ms,
            double directP99Ms,
            double entryP50Ms,
            double entryP99Ms,
            double ratioP50,
            double ratioP99,
            long entryPerSecond,
            long failed) {}

    private record Measured(Histogram histogram, long failed) {}

    List<Line> run() throws Exception {
        EmbeddedDeployment deployment =
                EmbeddedDeployment.create(DeploymentSpec.path(MINION_SLOTS));
        deployment.start();
        HttpClient http = HttpClient.create(CONNECTIONS);
        http.start();
        List<Line> lines = new ArrayList<>();
        for (int taskMs : TASK_MS) {
            for (int inFlight : IN_FLIGHT) {
                lines.add(measure(deployment, http, taskMs, inFlight));
            }
        }
        http.stop();
        deployment.stop();
        return lines;
    }

    private static Line measure(
            EmbeddedDeployment deployment, HttpClient http, int taskMs, int inFlight)
            throws InterruptedException {
        String minion = deployment.minionAddress();
        String entry = deployment.callerAddresses().get(0);
        String path = "/v1/services/catalogue/requests";
        runClosedLoop(http, minion, "/tasks", orderBody(taskMs), inFlight, WARM_UP_MS / 2);
        runClosedLoop(http, entry, path, requestBody(taskMs), inFlight, WARM_UP_MS);
        Measured direct =
                runClosedLoop(http, minion, "/tasks", orderBody(taskMs), inFlight, RUN_MS);
        Measured viaEntry = runClosedLoop(http, entry, path, requestBody(taskMs), inFlight, RUN_MS);
        double directP50 = percentile(direct, 50);
        double directP99 = percentile(direct, 99);
        double entryP50 = percentile(viaEntry, 50);
        double entryP99 = percentile(viaEntry, 99);
        return new Line(
                taskMs,
                inFlight,
                directP50,
                directP99,
                entryP50,
                entryP99,
                entryP50 / directP50,
                entryP99 / directP99,
                viaEntry.histogram().getTotalCount() * TimeUnit.SECONDS.toMillis(1) / RUN_MS,
                direct.failed() + viaEntry.failed());
    }

    private static double percentile(Measured measured, double percentile) {
        return measured.histogram().getValueAtPercentile(percentile) / US_PER_MS;
    }

    private static String payload(int taskMs) {
        return "{\"runMs\":" + taskMs + ",\"result\":\"r\"}";
    }

    private static String orderBody(int taskMs) {
        return PlatformJson.write(
                new TaskOrder(
                        0,
                        "bench",
                        "bench",
                        0,
                        "team",
                        "kind",
                        Resources.NONE,
                        TIMEOUT_MS,
                        Long.MAX_VALUE,
                        payload(taskMs)));
    }

    private static String requestBody(int taskMs) {
        return "{\"team\":\"team\",\"kind\":\"kind-"
                + taskMs
                + "\",\"payload\":\""
                + payload(taskMs).replace("\"", "\\\"")
                + "\"}";
    }

    /** Keeps {@code inFlight} requests in flight for {@code durationMs}. */
    private static Measured runClosedLoop(
            HttpClient http,
            String address,
            String path,
            String body,
            int inFlight,
            long durationMs)
            throws InterruptedException {
        Histogram histogram = new Histogram(3);
        AtomicLong failed = new AtomicLong();
        CountDownLatch remaining = new CountDownLatch(inFlight);
        long untilNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(durationMs);
        Runnable[] sendNext = new Runnable[1];
        sendNext[0] =
                () -> {
                    long startedNs = System.nanoTime();
                    if (startedNs > untilNs) {
                        remaining.countDown();
                        return;
                    }
                    http.send(
                            HttpCall.post(
                                    address,
                                    path,
                                    body,
                                    TIMEOUT_MS,
                                    result -> {
                                        recordResult(histogram, failed, result, startedNs);
                                        sendNext[0].run();
                                    }));
                };
        for (int i = 0; i < inFlight; i++) {
            sendNext[0].run();
        }
        remaining.await();
        return new Measured(histogram, failed.get());
    }

    private static void recordResult(
            Histogram histogram, AtomicLong failed, HttpResult result, long startedNs) {
        boolean complete =
                result instanceof HttpResult.Response response && response.status() == OK;
        if (!complete) {
            failed.incrementAndGet();
        }
        synchronized (histogram) {
            histogram.recordValue((System.nanoTime() - startedNs) / 1_000);
        }
    }
}
