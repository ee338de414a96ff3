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

/** Round trips through an entry VM against the same calls made straight to the minion. */
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
     * One line of the result.
     *
     * @param taskMs run time of the task
     * @param inFlight requests at once
     * @param directP50Ms straight to the minion, median
     * @param directP99Ms straight to the minion, 99th percentile
     * @param entryP50Ms through the entry VM, median
     * @param entryP99Ms through the entry VM, 99th percentile
     * @param ratioP50 entry over direct
     * @param ratioP99 entry over direct
     * @param entryPerSecond requests a second through the entry VM
     * @param failed requests that were not answered whole
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
        Measured through = runClosedLoop(http, entry, path, requestBody(taskMs), inFlight, RUN_MS);
        double directP50 = percentile(direct, 50);
        double directP99 = percentile(direct, 99);
        double entryP50 = percentile(through, 50);
        double entryP99 = percentile(through, 99);
        return new Line(
                taskMs,
                inFlight,
                directP50,
                directP99,
                entryP50,
                entryP99,
                entryP50 / directP50,
                entryP99 / directP99,
                through.histogram().getTotalCount() * TimeUnit.SECONDS.toMillis(1) / RUN_MS,
                direct.failed() + through.failed());
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

    /** Keeps a number of requests in flight for a while. */
    private static Measured runClosedLoop(
            HttpClient http, String address, String path, String body, int inFlight, long ms)
            throws InterruptedException {
        Histogram histogram = new Histogram(3);
        AtomicLong failed = new AtomicLong();
        CountDownLatch left = new CountDownLatch(inFlight);
        long untilNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(ms);
        Runnable[] next = new Runnable[1];
        next[0] =
                () -> {
                    long startedNs = System.nanoTime();
                    if (startedNs > untilNs) {
                        left.countDown();
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
                                        next[0].run();
                                    }));
                };
        for (int i = 0; i < inFlight; i++) {
            next[0].run();
        }
        left.await();
        return new Measured(histogram, failed.get());
    }

    private static void recordResult(
            Histogram histogram, AtomicLong failed, HttpResult result, long startedNs) {
        boolean good = result instanceof HttpResult.Response response && response.status() == OK;
        if (!good) {
            failed.incrementAndGet();
        }
        synchronized (histogram) {
            histogram.recordValue((System.nanoTime() - startedNs) / 1_000);
        }
    }
}
