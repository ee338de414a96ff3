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
    private static final class Lane {
        private final PriorityQueue<Job> mJobs;
        private double mServedMs;

        private Lane(Comparator<Job> order) {
            mJobs = new PriorityQueue<>(order);
        }
    }

    private final QueueOrder mOrder;
    private final Predicate<Job> mUrgent;
    private final Map<String, Lane> mLanes = new LinkedHashMap<>();
    private double mLevelMs;

    WorkQueue(QueueOrder order, Predicate<Job> urgent) {
        mOrder = order;
        mUrgent = urgent;
    }

    void add(Job job) {
        Lane lane = mLanes.computeIfAbsent(laneOf(job), team -> new Lane(jobOrder()));
        if (lane.mJobs.isEmpty()) {
            lane.mServedMs = Math.max(lane.mServedMs, mLevelMs);
        }
        lane.mJobs.add(job);
    }

    private String laneOf(Job job) {
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
    List<Job> heads() {
        List<Lane> lanes = new ArrayList<>();
        for (Lane lane : mLanes.values()) {
            if (head(lane).isPresent()) {
                lanes.add(lane);
            }
        }
        Comparator<Lane> urgentFirst =
                Comparator.comparing(lane -> !mUrgent.test(lane.mJobs.peek()));
        lanes.sort(urgentFirst.thenComparingDouble(WorkQueue::finishMs));
        return lanes.stream().map(lane -> lane.mJobs.peek()).toList();
    }

    private static double finishMs(Lane lane) {
        return lane.mServedMs + lane.mJobs.peek().leftMs();
    }

    /** Up to {@code most} jobs behind a lane's first one, for when the first one finds no room. */
    List<Job> behind(Job head, int most) {
        List<Job> jobs = new ArrayList<>();
        for (Job job : mLanes.get(laneOf(head)).mJobs) {
            if (jobs.size() == most) {
                break;
            }
            if (job != head && job.nextTask().isPresent()) {
                jobs.add(job);
            }
        }
        return jobs;
    }

    private Optional<Job> head(Lane lane) {
        while (!lane.mJobs.isEmpty() && lane.mJobs.peek().nextTask().isEmpty()) {
            lane.mJobs.poll();
        }
        return Optional.ofNullable(lane.mJobs.peek());
    }

    /** Accounts for a started task. */
    void served(Job job, double workMs, double weight) {
        Lane lane = mLanes.get(laneOf(job));
        lane.mServedMs += workMs / weight;
        mLevelMs = Math.max(mLevelMs, lane.mServedMs - workMs / weight);
    }

    /** A task of the job is waiting again. */
    void requeued(Job job) {
        Lane lane = mLanes.get(laneOf(job));
        if (lane == null || !lane.mJobs.contains(job)) {
            add(job);
        }
    }
}
