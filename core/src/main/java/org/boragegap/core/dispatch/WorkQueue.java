package org.boragegap.core.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.function.Predicate;
import org.boragegap.core.limit.QueueOrder;

/**
 * Jobs with tasks that wait for a target, a lane a team.
 *
 * <p>A lane's served time grows by the run time of what it starts, divided by the team's weight.
 * The lane goes first whose first job would be done at the least served time, so small jobs pass
 * big ones as long as their team isn't ahead of the others by more than that. A lane that was empty
 * starts at the others' level, so idle time can't be saved up.
 */
final class WorkQueue {
    private static final class TeamQueue {
        private final PriorityQueue<Job> mJobs;
        private double mVirtualTimeMs;

        private TeamQueue(Comparator<Job> order) {
            mJobs = new PriorityQueue<>(order);
        }
    }

    private final QueueOrder mOrder;
    private final Predicate<Job> mUrgent;
    private final Map<String, TeamQueue> mTeamQueues = new LinkedHashMap<>();
    private double mVirtualTimeMs;

    WorkQueue(QueueOrder order, Predicate<Job> urgent) {
        mOrder = order;
        mUrgent = urgent;
    }

    void add(Job job) {
        TeamQueue lane =
                mTeamQueues.computeIfAbsent(teamKey(job), team -> new TeamQueue(jobOrder()));
        if (lane.mJobs.isEmpty()) {
            lane.mVirtualTimeMs = Math.max(lane.mVirtualTimeMs, mVirtualTimeMs);
        }
        lane.mJobs.add(job);
    }

    private String teamKey(Job job) {
        return mOrder.fair() ? job.submission().team() : "";
    }

    private Comparator<Job> jobOrder() {
        Comparator<Job> arrival = Comparator.comparingLong(Job::sequence);
        if (!mOrder.fair()) {
            return arrival;
        }
        Comparator<Job> urgentFirst = Comparator.comparing(job -> !mUrgent.test(job));
        return urgentFirst.thenComparingDouble(Job::workMs).thenComparing(arrival);
    }

    /** The lanes' first jobs, in the order in which they are to be served. */
    List<Job> firstJobs() {
        List<TeamQueue> lanes = new ArrayList<>();
        for (TeamQueue lane : mTeamQueues.values()) {
            if (firstJob(lane).isPresent()) {
                lanes.add(lane);
            }
        }
        Comparator<TeamQueue> urgentFirst =
                Comparator.comparing(lane -> !mUrgent.test(lane.mJobs.peek()));
        lanes.sort(urgentFirst.thenComparingDouble(WorkQueue::virtualFinishMs));
        return lanes.stream().map(lane -> lane.mJobs.peek()).toList();
    }

    private static double virtualFinishMs(TeamQueue lane) {
        return lane.mVirtualTimeMs + lane.mJobs.peek().remainingMs();
    }

    /** Up to {@code most} jobs behind a lane's first one, for when the first one finds no room. */
    List<Job> backfillCandidates(Job head, int most) {
        List<Job> jobs = new ArrayList<>();
        for (Job job : mTeamQueues.get(teamKey(head)).mJobs) {
            if (jobs.size() == most) {
                break;
            }
            if (job != head && job.nextTask().isPresent()) {
                jobs.add(job);
            }
        }
        return jobs;
    }

    private Optional<Job> firstJob(TeamQueue lane) {
        while (!lane.mJobs.isEmpty() && lane.mJobs.peek().nextTask().isEmpty()) {
            lane.mJobs.poll();
        }
        return Optional.ofNullable(lane.mJobs.peek());
    }

    /** Accounts for a started task. */
    void charge(Job job, double workMs, double weight) {
        TeamQueue lane = mTeamQueues.get(teamKey(job));
        lane.mVirtualTimeMs += workMs / weight;
        mVirtualTimeMs = Math.max(mVirtualTimeMs, lane.mVirtualTimeMs - workMs / weight);
    }

    /** A task of the job is waiting again. */
    void requeue(Job job) {
        TeamQueue lane = mTeamQueues.get(teamKey(job));
        if (lane == null || !lane.mJobs.contains(job)) {
            add(job);
        }
    }
}
