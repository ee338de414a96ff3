package org.boragegap.core.dispatch;

import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import org.boragegap.core.ClockReading;
import org.boragegap.core.bundle.BundleContent;
import org.boragegap.core.job.Answer;
import org.boragegap.core.job.FailureKind;
import org.boragegap.core.job.Submission;
import org.boragegap.core.job.TaskSpec;
import org.boragegap.core.limit.RetryAfter;
import org.boragegap.core.placement.KindStatistics;
import org.boragegap.core.placement.TargetPool;

/** Decides whether a submission is accepted, rejected for now, or can never run. */
final class Admission {
    private final DispatchSettings mSettings;
    private final TargetPool mTargets;
    private final Supplier<BundleContent> mBundle;
    private final Supplier<Set<String>> mSiblings;
    private final Backlog mBacklog;
    private final KindStatistics mStatistics;

    Admission(
            DispatchSettings settings,
            TargetPool targets,
            Supplier<BundleContent> bundle,
            Supplier<Set<String>> siblings,
            Backlog backlog,
            KindStatistics statistics) {
        mSettings = settings;
        mTargets = targets;
        mBundle = bundle;
        mSiblings = siblings;
        mBacklog = backlog;
        mStatistics = statistics;
    }

    /** The answer to a submission that is rejected, if it is; nothing of it was run then. */
    Optional<Answer.Failed> rejection(Submission submission, ClockReading clock) {
        Optional<Answer.Failed> impossible = impossible(submission);
        if (impossible.isPresent()) {
            return impossible;
        }
        long spread = submission.id().claimKey().low();
        double waitMs = expectedWaitMs(JobScheduler.serviceOf(submission), clock);
        if (mBacklog.tasks() + submission.tasks().size() > mSettings.maxQueuedTasks()) {
            return Optional.of(notRun("the queue is full", RetryAfter.delayMs(waitMs, spread)));
        }
        if (!mTargets.hasTargets(JobScheduler.serviceOf(submission))) {
            return Optional.of(
                    notRun("no target is known for it", RetryAfter.delayMs(waitMs, spread)));
        }
        double finishMs = clock.wallMs() + waitMs + longestTaskMs(submission);
        if (mSettings.refuseHopeless() && finishMs > submission.deadlineMs()) {
            return Optional.of(
                    notRun("the deadline can't be met", RetryAfter.delayMs(waitMs, spread)));
        }
        return Optional.empty();
    }

    private Optional<Answer.Failed> impossible(Submission submission) {
        if (mBundle.get().teamQuota(submission.team()).maxRunning() == 0) {
            return Optional.of(impossible("the team's quota is zero"));
        }
        String service = JobScheduler.serviceOf(submission);
        for (TaskSpec task : submission.tasks()) {
            if (mTargets.hasTargets(service) && !mTargets.canEverFit(service, task.need())) {
                return Optional.of(
                        impossible("task " + task.index() + " needs more than any worker has"));
            }
        }
        return Optional.empty();
    }

    private static Answer.Failed impossible(String reason) {
        return new Answer.Failed(FailureKind.IMPOSSIBLE, reason, 0);
    }

    private static Answer.Failed notRun(String reason, long retryAfterMs) {
        return new Answer.Failed(FailureKind.NOT_RUN, reason, retryAfterMs);
    }

    /** Expected run time of the queued tasks, divided by this VM's share of the service's slots. */
    double expectedWaitMs(String service, ClockReading clock) {
        double slots =
                (double) mTargets.totalSlots(service, clock.monotonicMs())
                        / (1 + mSiblings.get().size());
        return mBacklog.workMs(service) / Math.max(1, slots);
    }

    private double longestTaskMs(Submission submission) {
        double longest = 0;
        for (TaskSpec task : submission.tasks()) {
            longest = Math.max(longest, mStatistics.estimatedMs(submission.kind(), task));
        }
        return longest;
    }
}
