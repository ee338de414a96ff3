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
 * Jobs with tasks that wait for a target: weighted fair queueing with one queue per team.
 *
 * <p>A team queue's virtual time grows by the expected run time of each started task, divided by
 * the team's weight. The queue whose first job has the lowest virtual finish time is served first,
 * so small jobs overtake large ones as long as their team's virtual time isn't ahead of the others'
 * by more than the difference. A queue that was empty resumes no lower than the virtual time at
 * which the other queues are served, so a team gets no credit for idle time.
 *
 * <p>Urgent jobs come first, within a team and among the teams. With {@link QueueOrder#FIFO} there
 * is a single queue for all teams, in order of arrival.
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
        TeamQueue queue =
                mTeamQueues.computeIfAbsent(teamKey(job), team -> new TeamQueue(jobOrder()));
        if (queue.mJobs.isEmpty()) {
            queue.mVirtualTimeMs = Math.max(queue.mVirtualTimeMs, mVirtualTimeMs);
        }
        queue.mJobs.add(job);
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

    /** The first jobs of all team queues, in the order in which they are to be served. */
    List<Job> firstJobs() {
        List<TeamQueue> queues = new ArrayList<>();
        for (TeamQueue queue : mTeamQueues.values()) {
            if (firstJob(queue).isPresent()) {
                queues.add(queue);
            }
        }
        Comparator<TeamQueue> urgentFirst =
                Comparator.comparing(queue -> !mUrgent.test(queue.mJobs.peek()));
        queues.sort(urgentFirst.thenComparingDouble(WorkQueue::virtualFinishMs));
        return queues.stream().map(queue -> queue.mJobs.peek()).toList();
    }

    private static double virtualFinishMs(TeamQueue queue) {
        return queue.mVirtualTimeMs + queue.mJobs.peek().remainingMs();
    }

    /**
     * Up to {@code limit} jobs behind the first one of a team queue, to try if the first one
     * doesn't fit on any target.
     */
    List<Job> backfillCandidates(Job first, int limit) {
        List<Job> jobs = new ArrayList<>();
        for (Job job : mTeamQueues.get(teamKey(first)).mJobs) {
            if (jobs.size() == limit) {
                break;
            }
            if (job != first && job.nextTask().isPresent()) {
                jobs.add(job);
            }
        }
        return jobs;
    }

    private Optional<Job> firstJob(TeamQueue queue) {
        while (!queue.mJobs.isEmpty() && queue.mJobs.peek().nextTask().isEmpty()) {
            queue.mJobs.poll();
        }
        return Optional.ofNullable(queue.mJobs.peek());
    }

    /** Charges a started task to its team queue. */
    void charge(Job job, double workMs, double weight) {
        TeamQueue queue = mTeamQueues.get(teamKey(job));
        queue.mVirtualTimeMs += workMs / weight;
        mVirtualTimeMs = Math.max(mVirtualTimeMs, queue.mVirtualTimeMs - workMs / weight);
    }

    /** Adds a job again if it is no longer queued, for a task that is to be started again. */
    void requeue(Job job) {
        TeamQueue queue = mTeamQueues.get(teamKey(job));
        if (queue == null || !queue.mJobs.contains(job)) {
            add(job);
        }
    }
}
