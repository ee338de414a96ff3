package org.boragegap.app;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.HdrHistogram.Histogram;
import org.boragegap.http.HttpCall;
import org.boragegap.http.HttpClient;
import org.boragegap.http.HttpResult;
import org.boragegap.standin.TargetStandin;

/** Submits sample jobs and requests and checks every answer. */
final class SampleRun {
    private static final int JOBS = 24;
    private static final int TASKS_PER_JOB = 12;
    private static final int REQUESTS = 60;
    private static final int TASK_MS = 50;
    private static final int CONNECTIONS = 128;
    private static final long TIMEOUT_MS = 30_000;
    private static final int OK = 200;
    private static final double RATIO_SCALE = 1_000.0;

    /**
     * Results of the run.
     *
     * @param jobs jobs submitted
     * @param requests requests submitted
     * @param wrong answers that are incomplete, incorrect or missing
     * @param tasksStarted distinct tasks started, as counted by the stand-ins
     * @param startedTwice tasks that were started more than once
     * @param ratioP50 median ratio of the response time to the ideal one
     * @param ratioP99 99th percentile of this ratio
     * @param wastedMessages starts that were refused or lost, and retries
     */
    record Summary(
            int jobs,
            int requests,
            int wrong,
            long tasksStarted,
            long startedTwice,
            double ratioP50,
            double ratioP99,
            long wastedMessages) {

        boolean passed() {
            long expected = (long) jobs * TASKS_PER_JOB + requests;
            return wrong == 0 && startedTwice == 0 && tasksStarted == expected;
        }

        String text() {
            return String.format(
                    Locale.ROOT,
                    "jobs %d, requests %d, answers not whole %d%n"
                            + "tasks started %d, started twice %d%n"
                            + "response time over the ideal: p50 %.2f, p99 %.2f%n"
                            + "wasted messages %d%n",
                    jobs,
                    requests,
                    wrong,
                    tasksStarted,
                    startedTwice,
                    ratioP50,
                    ratioP99,
                    wastedMessages);
        }
    }

    private final EmbeddedDeployment mDeployment;
    private final Optional<Progress> mProgress;
    private final ObjectMapper mMapper = new ObjectMapper();
    private final Histogram mRatios = new Histogram(3);
    private final AtomicInteger mWrongAnswers = new AtomicInteger();
    private final AtomicInteger mAnswered = new AtomicInteger();

    SampleRun(EmbeddedDeployment deployment, boolean showProgress) {
        mDeployment = deployment;
        mProgress = showProgress ? Optional.of(createProgress()) : Optional.empty();
    }

    private static Progress createProgress() {
        boolean terminal = System.console() != null;
        return Progress.create(JOBS + REQUESTS, terminal, System.out, HttpClient::nowMs);
    }

    Summary run() throws IOException, InterruptedException {
        HttpClient http = HttpClient.create(CONNECTIONS);
        http.start();
        CountDownLatch remaining = new CountDownLatch(JOBS + REQUESTS);
        List<String> addresses = mDeployment.callerAddresses();
        for (int i = 0; i < JOBS; i++) {
            String address = addresses.get(i % addresses.size());
            send(http, address, "/v1/jobs", jobBody(i), expectedResults(i), remaining);
            TimeUnit.MILLISECONDS.sleep(TASK_MS / 2);
        }
        for (int i = 0; i < REQUESTS; i++) {
            String address = addresses.get(i % addresses.size());
            String path = "/v1/services/catalogue/requests";
            send(http, address, path, requestBody(i), List.of("seats:" + i), remaining);
        }
        boolean allAnswered = remaining.await(TIMEOUT_MS * 2, TimeUnit.MILLISECONDS);
        http.stop();
        if (!allAnswered) {
            mWrongAnswers.addAndGet((int) remaining.getCount());
        }
        return summary();
    }

    private static String jobBody(int number) {
        String kind = number % 2 == 0 ? "prerequisite-audit" : "pipe-check";
        List<String> tasks = new ArrayList<>();
        for (int i = 0; i < TASKS_PER_JOB; i++) {
            tasks.add(
                    "{\"cpuMillis\":500,\"memoryMb\":64,\"expectedMs\":50,\"payload\":"
                            + payload("job" + number + "/" + i)
                            + "}");
        }
        String team = number % 2 == 0 ? "registrar" : "north-desk";
        return "{\"team\":\""
                + team
                + "\",\"kind\":\""
                + kind
                + "\",\"tasks\":["
                + String.join(",", tasks)
                + "]}";
    }

    private static String requestBody(int number) {
        return "{\"team\":\"students\",\"kind\":\"seat-check\",\"idempotent\":true,\"payload\":"
                + payload("seats:" + number)
                + "}";
    }

    private static String payload(String result) {
        return "\"{\\\"runMs\\\":" + TASK_MS + ",\\\"result\\\":\\\"" + result + "\\\"}\"";
    }

    private static List<String> expectedResults(int number) {
        List<String> results = new ArrayList<>();
        for (int i = 0; i < TASKS_PER_JOB; i++) {
            results.add("job" + number + "/" + i);
        }
        return results;
    }

    private void send(
            HttpClient http,
            String address,
            String path,
            String body,
            List<String> expected,
            CountDownLatch remaining) {
        long startedNs = System.nanoTime();
        http.send(
                HttpCall.post(
                        address,
                        path,
                        body,
                        TIMEOUT_MS,
                        result -> {
                            checkAnswer(result, expected, startedNs);
                            remaining.countDown();
                        }));
    }

    private void checkAnswer(HttpResult result, List<String> expected, long startedNs) {
        double tookMs = (System.nanoTime() - startedNs) / 1e6;
        synchronized (mRatios) {
            mRatios.recordValue((long) (tookMs / TASK_MS * RATIO_SCALE));
        }
        if (!expected.equals(results(result))) {
            mWrongAnswers.incrementAndGet();
        }
        int answered = mAnswered.incrementAndGet();
        mProgress.ifPresent(progress -> progress.update(answered));
    }

    private List<String> results(HttpResult result) {
        if (!(result instanceof HttpResult.Response response) || response.status() != OK) {
            return List.of();
        }
        try {
            JsonNode body = mMapper.readTree(response.text());
            List<String> results = new ArrayList<>();
            if (body.has("result")) {
                results.add(body.get("result").asText());
            }
            body.path("results").forEach(node -> results.add(node.asText()));
            return results;
        } catch (IOException e) {
            return List.of();
        }
    }

    private Summary summary() throws IOException, InterruptedException {
        long tasksStarted = 0;
        long startedTwice = 0;
        for (TargetStandin target : mDeployment.targets()) {
            for (AtomicInteger count : target.starts().values()) {
                tasksStarted++;
                startedTwice += count.get() > 1 ? 1 : 0;
            }
        }
        long wasted = 0;
        for (String operator : mDeployment.operatorAddresses()) {
            JsonNode dump =
                    mMapper.readTree(CliHttpClient.send(operator, "GET", "/dump", "", "").body());
            JsonNode counters = dump.path("counters");
            wasted += counters.path("REFUSED_STARTS").asLong();
            wasted += counters.path("LOST_STARTS").asLong();
            wasted += counters.path("RETRIES").asLong();
        }
        return new Summary(
                JOBS,
                REQUESTS,
                mWrongAnswers.get(),
                tasksStarted,
                startedTwice,
                mRatios.getValueAtPercentile(50) / RATIO_SCALE,
                mRatios.getValueAtPercentile(99) / RATIO_SCALE,
                wasted);
    }
}
