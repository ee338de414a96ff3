package org.boragegap.app;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import org.HdrHistogram.Histogram;
import org.boragegap.http.HttpCall;
import org.boragegap.http.HttpClient;
import org.boragegap.http.HttpResult;
import org.boragegap.standin.TargetMode;
import org.boragegap.standin.TargetStandin;

/** One open-loop run: jobs arrive at their planned times, whether or not earlier ones are done. */
final class LoadRun {
    private static final int CONNECTIONS = 2_048;
    private static final long TIMEOUT_MS = 30_000;
    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;
    private static final double RATIO_SCALE = 1_000.0;
    private static final List<String> WASTED_COUNTERS =
            List.of(
                    "REFUSED_STARTS",
                    "LOST_STARTS",
                    "RETRIES",
                    "LATE_RESULTS",
                    "FORWARDS",
                    "CLAIM_MESSAGES",
                    "LOAN_MESSAGES",
                    "BUNDLES_PASSED");

    /**
     * Results of a run.
     *
     * @param jobs jobs submitted
     * @param complete jobs that were completed
     * @param refused jobs that were refused and not run
     * @param failed all other jobs
     * @param startedTwice tasks that were started more than once
     * @param ratioP50 median ratio of the response time to the ideal one, of completed jobs
     * @param ratioP99 99th percentile of this ratio
     * @param ratioP999 99.9th percentile of this ratio
     * @param goodputTaskSeconds run time of the tasks of completed jobs in seconds, per core and
     *     second from the first arrival to the last answer
     * @param wastedPerUseful wasted messages per useful message
     * @param wasted wasted messages by kind
     * @param p99ByTeam 99th percentile of this ratio, by team
     */
    record Result(
            int jobs,
            int complete,
            int refused,
            int failed,
            long startedTwice,
            double ratioP50,
            double ratioP99,
            double ratioP999,
            double goodputTaskSeconds,
            double wastedPerUseful,
            Map<String, Long> wasted,
            Map<String, Double> p99ByTeam) {}

    private final LoadComparison.Options mOptions;
    private final String mExtraSettings;
    private final ObjectMapper mMapper = new ObjectMapper();
    private final Histogram mRatios = new Histogram(3);
    private final Map<String, Histogram> mRatiosByTeam = new HashMap<>();
    private final AtomicInteger mComplete = new AtomicInteger();
    private final AtomicInteger mRefused = new AtomicInteger();
    private final AtomicInteger mFailed = new AtomicInteger();
    private long mCompleteRunMs;
    private double mDurationSeconds;

    LoadRun(LoadComparison.Options options, String extraSettings) {
        mOptions = options;
        mExtraSettings = extraSettings;
    }

    Result run() throws Exception {
        DeploymentSpec spec = DeploymentSpec.load(mExtraSettings);
        EmbeddedDeployment deployment = EmbeddedDeployment.create(spec);
        deployment.start();
        HttpClient http = HttpClient.create(CONNECTIONS);
        http.start();
        LoadPlan warmUp = LoadPlan.create(mOptions.seed() + 1, 50, 5, cores(spec));
        submitAll(deployment, http, warmUp, false);
        Map<String, Long> before = counters(deployment);
        LoadPlan plan =
                LoadPlan.create(
                        mOptions.seed(), mOptions.loadPercent(), mOptions.seconds(), cores(spec));
        Thread faults = injectFaults(deployment);
        long startedNs = System.nanoTime();
        submitAll(deployment, http, plan, true);
        mDurationSeconds = (System.nanoTime() - startedNs) / 1e9;
        faults.join();
        Map<String, Long> after = counters(deployment);
        Result result = result(deployment, plan, before, after, cores(spec));
        http.stop();
        deployment.stop();
        return result;
    }

    private static int cores(DeploymentSpec spec) {
        return spec.workers() * spec.workerCapacity().cpuMillis() / 1_000;
    }

    private Thread injectFaults(EmbeddedDeployment deployment) {
        Thread thread =
                new Thread(
                        () -> {
                            LockSupport.parkNanos(TimeUnit.SECONDS.toNanos(mOptions.seconds()) / 3);
                            deployment.targets().get(0).mode(TargetMode.FAIL_ALL);
                            deployment.targets().get(1).mode(TargetMode.DROP);
                            deployment.stopEntry(0);
                        });
        if (mOptions.faults()) {
            thread.start();
        }
        return thread;
    }

    private void submitAll(
            EmbeddedDeployment deployment, HttpClient http, LoadPlan plan, boolean counted)
            throws InterruptedException {
        List<String> addresses = deployment.callerAddresses();
        CountDownLatch remaining = new CountDownLatch(plan.jobs().size());
        long startedNs = System.nanoTime();
        int number = 0;
        for (LoadPlan.Job job : plan.jobs()) {
            long dueNs = startedNs + TimeUnit.MILLISECONDS.toNanos(job.arrivalMs());
            while (System.nanoTime() < dueNs) {
                LockSupport.parkNanos(dueNs - System.nanoTime());
            }
            // The response time is measured from when the job was due, even if it is sent late.
            submit(new SubmittedJob(http, addresses, job, dueNs, counted, remaining), number++);
        }
        remaining.await();
    }

    private record SubmittedJob(
            HttpClient http,
            List<String> addresses,
            LoadPlan.Job job,
            long dueNs,
            boolean counted,
            CountDownLatch remaining) {}

    /** Sends to one entry VM, or to the next if it is unreachable, as a load balancer would. */
    private void submit(SubmittedJob submitted, int number) {
        List<String> addresses = submitted.addresses();
        submitted
                .http()
                .send(
                        HttpCall.post(
                                addresses.get(Math.floorMod(number, addresses.size())),
                                "/v1/jobs",
                                submitted.job().body(),
                                TIMEOUT_MS,
                                result -> onResult(submitted, number, result)));
    }

    private void onResult(SubmittedJob submitted, int number, HttpResult result) {
        if (result instanceof HttpResult.NotSent) {
            submit(submitted, number + 1);
            return;
        }
        if (submitted.counted()) {
            recordResult(submitted.job(), result, submitted.dueNs());
        }
        submitted.remaining().countDown();
    }

    private synchronized void recordResult(LoadPlan.Job job, HttpResult result, long dueNs) {
        boolean answered = result instanceof HttpResult.Response;
        int status = answered ? ((HttpResult.Response) result).status() : 0;
        if (status == UNAVAILABLE) {
            mRefused.incrementAndGet();
        } else if (status != OK) {
            mFailed.incrementAndGet();
        } else {
            double tookMs = (System.nanoTime() - dueNs) / 1e6;
            long ratio = (long) (tookMs / job.idealMs() * RATIO_SCALE);
            mComplete.incrementAndGet();
            mCompleteRunMs += job.totalRunMs();
            mRatios.recordValue(ratio);
            mRatiosByTeam.computeIfAbsent(job.team(), team -> new Histogram(3)).recordValue(ratio);
        }
    }

    private Map<String, Long> counters(EmbeddedDeployment deployment) throws Exception {
        Map<String, Long> sums = new HashMap<>();
        for (String operator : deployment.operatorAddresses()) {
            counters(operator)
                    .fields()
                    .forEachRemaining(
                            field ->
                                    sums.merge(
                                            field.getKey(), field.getValue().asLong(), Long::sum));
        }
        return sums;
    }

    /** Counters of one entry VM; none if it can't be reached since it was stopped as a fault. */
    private JsonNode counters(String operator) throws Exception {
        try {
            String dump = CliHttpClient.send(operator, "GET", "/dump", "", "").body();
            return mMapper.readTree(dump).path("counters");
        } catch (IOException e) {
            return mMapper.createObjectNode();
        }
    }

    private Result result(
            EmbeddedDeployment deployment,
            LoadPlan plan,
            Map<String, Long> before,
            Map<String, Long> after,
            int cores) {
        Map<String, Long> wasted = new TreeMap<>();
        for (String name : WASTED_COUNTERS) {
            wasted.put(name, difference(name, before, after));
        }
        long useful =
                2 * difference("STARTS", before, after)
                        - 2 * wasted.get("REFUSED_STARTS")
                        + 2 * difference("SUBMISSIONS", before, after);
        long waste = wasted.values().stream().mapToLong(Long::longValue).sum();
        Map<String, Double> byTeam = new TreeMap<>();
        mRatiosByTeam.forEach((team, ratios) -> byTeam.put(team, percentile(ratios, 99)));
        return new Result(
                plan.jobs().size(),
                mComplete.get(),
                mRefused.get(),
                mFailed.get(),
                startedTwice(deployment),
                percentile(mRatios, 50),
                percentile(mRatios, 99),
                percentile(mRatios, 99.9),
                mCompleteRunMs / 1e3 / mDurationSeconds / cores,
                (double) waste / Math.max(1, useful),
                wasted,
                byTeam);
    }

    private static long difference(String name, Map<String, Long> before, Map<String, Long> after) {
        return Math.max(0, after.getOrDefault(name, 0L) - before.getOrDefault(name, 0L));
    }

    private static double percentile(Histogram ratios, double percentile) {
        return ratios.getValueAtPercentile(percentile) / RATIO_SCALE;
    }

    private static long startedTwice(EmbeddedDeployment deployment) {
        Map<String, Integer> starts = new HashMap<>();
        for (TargetStandin target : deployment.targets()) {
            target.starts().forEach((task, count) -> starts.merge(task, count.get(), Integer::sum));
        }
        return starts.values().stream().filter(count -> count > 1).count();
    }
}
