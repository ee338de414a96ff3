package org.boragegap.app;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Seeded arrivals of jobs: 1 to 360 tasks of 50 ms to a second, with a tail of several seconds, in
 * bursts, with declared sizes and run times that are far off.
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
     * One job.
     *
     * @param arrivalMs when it is due
     * @param team on whose behalf
     * @param body request body
     * @param totalRunMs run time of all its tasks
     * @param idealMs response time on an idle deployment: the longest task, or all of them spread
     *     over all cores, and the round trip
     */
    record Job(long arrivalMs, String team, String body, long totalRunMs, double idealMs) {}

    private final List<Job> mJobs;

    private LoadPlan(List<Job> jobs) {
        mJobs = jobs;
    }

    List<Job> jobs() {
        return mJobs;
    }

    /** Plans jobs whose work is a share of what the cores can do, each task taking one core. */
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
        jobs.sort((one, other) -> Long.compare(one.arrivalMs(), other.arrivalMs()));
        return new LoadPlan(jobs);
    }

    /** Anywhere in the run, or close behind one of the moments at which bursts begin. */
    private static long randomArrivalMs(SplittableRandom random, double lengthMs) {
        double at = random.nextDouble() * lengthMs;
        if (random.nextDouble() < BURST_SHARE) {
            at = Math.floor(at / BURST_INTERVAL_MS) * BURST_INTERVAL_MS + random.nextDouble() * 300;
        }
        return (long) at;
    }

    private static Job randomJob(SplittableRandom random, long atMs, int cores) {
        int kind = random.nextInt(KINDS.length);
        int tasks = (int) Math.pow(MAX_TASKS, Math.pow(random.nextDouble(), 3));
        String team = TEAMS[Math.min(TEAMS.length - 1, random.nextInt(6))];
        StringBuilder list = new StringBuilder();
        long workMs = 0;
        long longestMs = 0;
        for (int i = 0; i < tasks; i++) {
            long runMs = randomRunMs(random, kind);
            workMs += runMs;
            longestMs = Math.max(longestMs, runMs);
            list.append(i == 0 ? "" : ",").append(taskJson(random, kind, runMs));
        }
        double idealMs = Math.max(longestMs, (double) workMs / cores) + OVERHEAD_MS;
        String body =
                "{\"team\":\""
                        + team
                        + "\",\"kind\":\""
                        + KINDS[kind]
                        + "\",\"timeoutMs\":"
                        + TIMEOUT_MS
                        + ",\"tasks\":["
                        + list
                        + "]}";
        return new Job(atMs, team, body, workMs, idealMs);
    }

    private static long randomRunMs(SplittableRandom random, int kind) {
        if (random.nextInt(200) == 0) {
            return 1_000 + random.nextInt(3_000);
        }
        return TYPICAL_RUN_MS[kind] / 2 + random.nextInt(TYPICAL_RUN_MS[kind]);
    }

    /** Every task uses one core; what it declares is between a third and three times that. */
    private static String taskJson(SplittableRandom random, int kind, long runMs) {
        double off = Math.pow(3, random.nextDouble() * 2 - 1);
        return "{\"cpuMillis\":"
                + (int) (1_000 * off)
                + ",\"memoryMb\":64,\"expectedMs\":"
                + (int) (TYPICAL_RUN_MS[kind] * off)
                + ",\"payload\":\"{\\\"runMs\\\":"
                + runMs
                + ",\\\"result\\\":\\\"r\\\",\\\"cpuMillis\\\":1000}\"}";
    }
}
