package org.boragegap.app;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.boragegap.standin.CellTargetStandin;
import org.boragegap.standin.CellTargetStandin.PastRun;

/** Compares what the targets ran with what callers were told; the entry VMs aren't asked. */
final class SoakFindings {
    private final Collection<SoakCallers.Job> mJobs;
    private final Map<String, List<PastRun>> mRunsOfTasks = new HashMap<>();
    private final Set<String> mJobsThatRan = new HashSet<>();

    private SoakFindings(Collection<SoakCallers.Job> jobs, List<PastRun> runs) {
        mJobs = jobs;
        for (PastRun run : runs) {
            mRunsOfTasks.computeIfAbsent(run.task(), task -> new ArrayList<>()).add(run);
            mJobsThatRan.add(jobOf(run.task()));
        }
        mRunsOfTasks.values().forEach(of -> of.sort(Comparator.comparingLong(PastRun::beganMs)));
    }

    static SoakFindings of(Map<String, SoakCallers.Job> jobs, List<PastRun> runs) {
        return new SoakFindings(jobs.values(), runs);
    }

    private static String jobOf(String task) {
        return task.substring(0, task.indexOf('.'));
    }

    /** Tasks that had two runs at the same time, with both runs. */
    List<String> overlappingRuns() {
        List<String> found = new ArrayList<>();
        for (List<PastRun> runs : mRunsOfTasks.values()) {
            for (int i = 1; i < runs.size(); i++) {
                for (PastRun earlier : runs.subList(0, i)) {
                    if (overlap(earlier, runs.get(i))) {
                        found.add(text(earlier) + " | " + text(runs.get(i)));
                    }
                }
            }
        }
        return found;
    }

    private static boolean overlap(PastRun earlier, PastRun later) {
        return later.beganMs() < earlier.endedMs()
                || earlier.cause().equals(CellTargetStandin.REPLACED);
    }

    /** A run with its times on the wall clock, as the logs of the entry VMs have them. */
    private static String text(PastRun run) {
        long wallMs = System.currentTimeMillis() - System.nanoTime() / 1_000_000;
        return String.format(
                "%s run %d fence %d on %s from %d to %d %s",
                run.task(),
                run.number(),
                run.fence(),
                run.target(),
                wallMs + run.beganMs(),
                wallMs + run.endedMs(),
                run.cause());
    }

    /** Jobs of which each attempt was refused as not run, although a target ran a task of them. */
    List<String> refusedThatRan() {
        return thatRan(SoakCallers.Outcome.REFUSED);
    }

    /** Jobs that ran and whose last attempt was refused, after one that was not answered. */
    List<String> refusedLaterThatRan() {
        return thatRan(SoakCallers.Outcome.REFUSED_LATER);
    }

    private List<String> thatRan(SoakCallers.Outcome outcome) {
        return mJobs.stream()
                .filter(job -> job.outcome() == outcome)
                .filter(job -> mJobsThatRan.contains(job.id()))
                .map(job -> job.id() + " " + job.lastAnswer())
                .toList();
    }

    /** Jobs whose callers were told that they are completed, without an end of each task. */
    List<String> completedButNotDone() {
        return mJobs.stream()
                .filter(job -> job.outcome() == SoakCallers.Outcome.COMPLETED)
                .filter(job -> doneTasks(job) < job.tasks())
                .map(SoakCallers.Job::id)
                .toList();
    }

    private long doneTasks(SoakCallers.Job job) {
        return mRunsOfTasks.entrySet().stream()
                .filter(entry -> jobOf(entry.getKey()).equals(job.id()))
                .filter(entry -> entry.getValue().stream().anyMatch(SoakFindings::isDone))
                .count();
    }

    private static boolean isDone(PastRun run) {
        return run.cause().equals("done");
    }

    long completed() {
        return count(SoakCallers.Outcome.COMPLETED);
    }

    private long count(SoakCallers.Outcome outcome) {
        return mJobs.stream().filter(job -> job.outcome() == outcome).count();
    }

    String summary() {
        StringBuilder text = new StringBuilder("jobs");
        for (SoakCallers.Outcome outcome : SoakCallers.Outcome.values()) {
            text.append(' ').append(outcome).append('=').append(count(outcome));
        }
        return text + " overlapping runs=" + overlappingRuns().size();
    }

    /** All findings, for the directory of the run. */
    List<String> lines() {
        List<String> lines = new ArrayList<>(List.of(summary()));
        overlappingRuns().forEach(run -> lines.add("overlap " + run));
        refusedThatRan().forEach(job -> lines.add("refused but ran " + job));
        refusedLaterThatRan().forEach(job -> lines.add("refused later, ran before " + job));
        completedButNotDone().forEach(job -> lines.add("completed but not done " + job));
        return lines;
    }
}
