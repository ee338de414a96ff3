package org.boragegap.app;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Pseudo-random arrivals of jobs, reproducible by their seed.
 *
 * <p>A job has 1 to 360 tasks, with run times from 40 ms to half a second and a tail of 1 to 4
 * seconds. A share of the jobs arrives in bursts, and the declared sizes and run times are
 * inaccurate.
 */
final class LoadPlan {
    private static final String[] TEAMS = {"students", "advisors", "registrar", "counter"};
    private static final String[] KINDS = {"seat-check", "clash-check", "audit", "pipe-check"};
    private static final int[] TYPICAL_RUN_MS = {80, 150, 300, 200};
    private static final int MAX_TASKS = 360;
    private static final double BURST_INTERVAL_MS = 4_000;
    private static final double BURST_SHARE = 0.25;
    private static final long TIMEOUT_MS = 20_000;
    private static final double OVERHEAD_MS = 2;

    /**
     * A job of the plan.
     *
     * @param arrivalMs when it is to be submitted, in ms from the start of the run
     * @param team team that submits it
     * @param body request body
     * @param totalRunMs sum of the run times of its tasks
     * @param idealMs response time on an idle deployment: the longer of its longest task and all
     *     its tasks spread over all cores, plus the round trip
     */
    record Job(long arrivalMs, String team, String body, long totalRunMs, double idealMs) {}

    private final List<Job> mJobs;

    private LoadPlan(List<Job> jobs) {
        mJobs = jobs;
    }

    List<Job> jobs() {
        return mJobs;
    }

    /** Plans jobs whose total run time is a share of the capacity; each task uses one core. */
    static LoadPlan create(long seed, int loadPercent, int seconds, int cores) {
        SplittableRandom random = new SplittableRandom(seed);
        double budgetMs = loadPercent / 100.0 * cores * seconds * 1_000.0;
        List<Job> jobs = new ArrayList<>();
        double plannedMs = 0;
        while (plannedMs < budgetMs) {
            Job job = randomJob(random, randomArrivalMs(random, seconds * 1_000.0), cores);
            plannedMs += job.totalRunMs();
            jobs.add(job);
        }
        jobs.sort((first, second) -> Long.compare(first.arrivalMs(), second.arrivalMs()));
        return new LoadPlan(jobs);
    }

    /** A time anywhere in the run, or within 300 ms after the start of a burst. */
    private static long randomArrivalMs(SplittableRandom random, double durationMs) {
        double arrivalMs = random.nextDouble() * durationMs;
        if (random.nextDouble() < BURST_SHARE) {
            arrivalMs =
                    Math.floor(arrivalMs / BURST_INTERVAL_MS) * BURST_INTERVAL_MS
                            + random.nextDouble() * 300;
        }
        return (long) arrivalMs;
    }

    private static Job randomJob(SplittableRandom random, long arrivalMs, int cores) {
        int kind = random.nextInt(KINDS.length);
        int tasks = (int) Math.pow(MAX_TASKS, Math.pow(random.nextDouble(), 3));
        String team = TEAMS[Math.min(TEAMS.length - 1, random.nextInt(6))];
        StringBuilder taskList = new StringBuilder();
        long totalRunMs = 0;
        long longestMs = 0;
        for (int i = 0; i < tasks; i++) {
            long runMs = randomRunMs(random, kind);
            totalRunMs += runMs;
            longestMs = Math.max(longestMs, runMs);
            taskList.append(i == 0 ? "" : ",").append(taskJson(random, kind, runMs));
        }
        double idealMs = Math.max(longestMs, (double) totalRunMs / cores) + OVERHEAD_MS;
        String body =
                "{\"team\":\""
                        + team
                        + "\",\"kind\":\""
                        + KINDS[kind]
                        + "\",\"timeoutMs\":"
                        + TIMEOUT_MS
                        + ",\"tasks\":["
                        + taskList
                        + "]}";
        return new Job(arrivalMs, team, body, totalRunMs, idealMs);
    }

    private static long randomRunMs(SplittableRandom random, int kind) {
        if (random.nextInt(200) == 0) {
            return 1_000 + random.nextInt(3_000);
        }
        return TYPICAL_RUN_MS[kind] / 2 + random.nextInt(TYPICAL_RUN_MS[kind]);
    }

    /**
     * A task that uses one core. It declares a third to three times this CPU, and a third to three
     * times the typical run time of its kind.
     */
    private static String taskJson(SplittableRandom random, int kind, long runMs) {
        double factor = Math.pow(3, random.nextDouble() * 2 - 1);
        return "{\"cpuMillis\":"
                + (int) (1_000 * factor)
                + ",\"memoryMb\":64,\"expectedMs\":"
                + (int) (TYPICAL_RUN_MS[kind] * factor)
                + ",\"payload\":\"{\\\"runMs\\\":"
                + runMs
                + ",\\\"result\\\":\\\"r\\\",\\\"cpuMillis\\\":1000}\"}";
    }
}
