package org.boragegap.core.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import org.boragegap.core.ClockReading;
import org.boragegap.core.bundle.Bundle;
import org.boragegap.core.bundle.BundleContent;
import org.boragegap.core.bundle.CheckedBundle;
import org.boragegap.core.claim.ClaimLimits;
import org.boragegap.core.claim.Member;
import org.boragegap.core.job.Answer;
import org.boragegap.core.job.FailureKind;
import org.boragegap.core.job.Outcome;
import org.boragegap.core.job.RefusalCause;
import org.boragegap.core.job.Resources;
import org.boragegap.core.job.Submission;
import org.boragegap.core.job.SubmissionId;
import org.boragegap.core.job.TaskSpec;
import org.boragegap.core.limit.TeamQuota;
import org.boragegap.core.membership.ListedVm;
import org.boragegap.core.membership.VmKind;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** A single dispatcher with targets whose answers the tests supply. */
final class DispatcherTest {
    private static final String DOMAIN = "fd";
    private static final long WALL_MS = 1_800_000_000_000L;
    private static final Resources CAPACITY = new Resources(4_000, 4_000, 1);
    private static final Resources SMALL = new Resources(1_000, 100, 0);

    private final Dispatcher mDispatcher =
            Dispatcher.create(
                    new Member("vm:1", 1),
                    DispatchSettings.defaults(DOMAIN, List.of(DOMAIN)),
                    ClaimLimits.defaults(),
                    new SplittableRandom(1));
    private long mNowMs = 1_000;
    private int mNextId;

    @BeforeEach
    void listVms() {
        listVms(false);
    }

    private void listVms(boolean secondMinionLeaving) {
        List<ListedVm> vms = new ArrayList<>();
        vms.add(new ListedVm("w:1", DOMAIN, VmKind.WORKER, "", false, CAPACITY, 64));
        vms.add(new ListedVm("w:2", DOMAIN, VmKind.WORKER, "", false, CAPACITY, 64));
        vms.add(new ListedVm("m:1", DOMAIN, VmKind.MINION, "billing", false, Resources.NONE, 8));
        vms.add(
                new ListedVm(
                        "m:2",
                        DOMAIN,
                        VmKind.MINION,
                        "billing",
                        secondMinionLeaving,
                        Resources.NONE,
                        8));
        onEvent(new Event.VmsListed(vms));
    }

    private List<Action> onEvent(Event event) {
        List<Action> actions = new ArrayList<>();
        mDispatcher.onEvent(event, new ClockReading(mNowMs, WALL_MS + mNowMs), actions);
        return actions;
    }

    private List<Action> advanceTime(long ms) {
        mNowMs += ms;
        return onEvent(new Event.Ticked());
    }

    private Submission submission(
            Optional<String> service, boolean idempotent, int tasks, Resources need) {
        List<TaskSpec> taskSpecs = new ArrayList<>();
        for (int i = 0; i < tasks; i++) {
            taskSpecs.add(new TaskSpec(i, need, 100, ""));
        }
        String text = "id" + mNextId++;
        SubmissionId id = new SubmissionId(text, WALL_MS, Optional.of(DOMAIN), Optional.of("vm:1"));
        long deadlineMs = WALL_MS + mNowMs + 10_000;
        return new Submission(id, "team", "kind", service, idempotent, deadlineMs, taskSpecs, 1);
    }

    private List<Action> submit(Submission submission) {
        return onEvent(new Event.Submitted(new CallerRef.HttpCaller(mNextId), submission, true, 0));
    }

    private static List<Action.Start> starts(List<Action> actions) {
        return actions.stream()
                .filter(action -> action instanceof Action.Start)
                .map(action -> (Action.Start) action)
                .toList();
    }

    private static Optional<Answer> answer(List<Action> actions) {
        return actions.stream()
                .filter(action -> action instanceof Action.Reply)
                .map(action -> ((Action.Reply) action).answer())
                .findFirst();
    }

    private static Answer.Failed failure(List<Action> actions) {
        return (Answer.Failed) answer(actions).orElseThrow();
    }

    private List<Action> end(Action.Start start, Outcome outcome) {
        return onEvent(new Event.AttemptEnded(start.attempt(), outcome));
    }

    private static Outcome done(Action.Start start) {
        return new Outcome.Succeeded("r" + start.task().index(), 100, SMALL);
    }

    @Nested
    final class Answers {
        /**
         * The results of a job arrive out of order and one of them twice, as after a reconnect. The
         * answer has each result once, in order, and comes only when all have arrived.
         */
        @Test
        void aJobIsAnsweredOnceAllResultsHaveArrived() {
            List<Action.Start> starts =
                    starts(submit(submission(Optional.empty(), false, 3, SMALL)));
            assertThat(starts).hasSize(3);
            assertThat(answer(end(starts.get(2), done(starts.get(2))))).isEmpty();
            assertThat(answer(end(starts.get(0), done(starts.get(0))))).isEmpty();
            assertThat(answer(end(starts.get(0), done(starts.get(0))))).isEmpty();
            assertThat(answer(end(starts.get(1), done(starts.get(1)))))
                    .hasValue(new Answer.Complete(List.of("r0", "r1", "r2")));
            assertThat(mDispatcher.counters().count(Counters.Name.LATE_RESULTS)).isEqualTo(1);
        }

        /**
         * A worker dies while it runs one task of a job: the job fails at once and its other task
         * is stopped.
         */
        @Test
        void aLostTaskFailsTheWholeJobAsMayHaveRun() {
            List<Action.Start> starts =
                    starts(submit(submission(Optional.empty(), true, 2, SMALL)));
            List<Action> actions = end(starts.get(0), new Outcome.Lost("worker died"));
            assertThat(failure(actions).kind()).isEqualTo(FailureKind.MAY_HAVE_RUN);
            assertThat(actions.stream().anyMatch(action -> action instanceof Action.Stop)).isTrue();
            assertThat(starts(advanceTime(50))).isEmpty();
        }

        @Test
        void aJobNotStartedByTheDeadlineIsAnsweredAsNotRun() {
            for (int i = 0; i < 8; i++) {
                submit(submission(Optional.empty(), false, 1, SMALL));
            }
            List<Action> queued = submit(submission(Optional.empty(), false, 1, SMALL));
            assertThat(starts(queued)).isEmpty();
            List<Answer.Failed> failures =
                    advanceTime(10_001).stream()
                            .filter(action -> action instanceof Action.Reply)
                            .map(action -> (Answer.Failed) ((Action.Reply) action).answer())
                            .toList();
            assertThat(failures).hasSize(9);
            assertThat(failures.stream().filter(f -> f.kind() == FailureKind.NOT_RUN).count())
                    .isEqualTo(1);
        }
    }

    @Nested
    final class Impossible {
        @Test
        void aTaskLargerThanAnyWorkerFailsAtOnce() {
            Resources huge = new Resources(5_000, 10, 0);
            Answer.Failed failure = failure(submit(submission(Optional.empty(), false, 1, huge)));
            assertThat(failure.kind()).isEqualTo(FailureKind.IMPOSSIBLE);
            assertThat(failure.reason()).contains("more than any worker has");
        }

        @Test
        void aJobOfATeamWithQuotaZeroFailsAtOnce() {
            BundleContent content =
                    new BundleContent(Map.of("team", new TeamQuota(0, 1)), Map.of());
            Bundle bundle = new Bundle(1, "", "p", "", List.of());
            onEvent(new Event.BundleReceived(CheckedBundle.valid(bundle, content)));
            Answer.Failed failure = failure(submit(submission(Optional.empty(), false, 1, SMALL)));
            assertThat(failure.kind()).isEqualTo(FailureKind.IMPOSSIBLE);
        }
    }

    @Nested
    final class Requests {
        private Submission billing(boolean idempotent) {
            return submission(Optional.of("billing"), idempotent, 1, Resources.NONE);
        }

        /**
         * The connection stops responding after a billing request was written. Whether it was
         * processed is not known, so it is not sent again and its caller is told that it may have
         * run.
         */
        @Test
        void aNonIdempotentRequestIsSentOnce() {
            Action.Start start = starts(submit(billing(false))).get(0);
            List<Action> actions = end(start, new Outcome.Lost("silent"));
            assertThat(starts(actions)).isEmpty();
            assertThat(failure(actions).kind()).isEqualTo(FailureKind.MAY_HAVE_RUN);
        }

        @Test
        void anIdempotentRequestIsSentToAnotherMinion() {
            Action.Start start = starts(submit(billing(true))).get(0);
            Action.Start again = starts(end(start, new Outcome.Lost("silent"))).get(0);
            assertThat(again.target().address()).isNotEqualTo(start.target().address());
        }

        @Test
        void aRefusedRequestIsSentToAnotherMinionEvenIfNotIdempotent() {
            Action.Start start = starts(submit(billing(false))).get(0);
            Outcome busy = new Outcome.NotRun(RefusalCause.BUSY, "full");
            Action.Start again = starts(end(start, busy)).get(0);
            assertThat(again.target().address()).isNotEqualTo(start.target().address());
        }

        /**
         * Every first attempt is lost, as in a network partition: the retry budget limits the
         * retries.
         */
        @Test
        void retriesAreBoundedByTheBudget() {
            int retries = 0;
            for (int i = 0; i < 100; i++) {
                for (Action.Start first : starts(submit(billing(true)))) {
                    for (Action.Start retry : starts(end(first, new Outcome.Lost("cut")))) {
                        retries++;
                        end(retry, done(retry));
                    }
                }
                advanceTime(1_000);
            }
            assertThat(retries).isAtLeast(10);
            assertThat(retries).isAtMost(20);
        }
    }

    @Nested
    final class LeavingTargets {
        private Map<String, Integer> placed(int count) {
            Map<String, Integer> placed = new HashMap<>();
            for (int i = 0; i < count; i++) {
                Submission request = submission(Optional.of("billing"), false, 1, Resources.NONE);
                for (Action.Start start : starts(submit(request))) {
                    placed.merge(start.target().address(), 1, Integer::sum);
                    end(start, done(start));
                }
            }
            return placed;
        }

        @Test
        void aMinionListedAsLeavingGetsNothing() {
            listVms(true);
            assertThat(placed(40)).doesNotContainKey("m:2");
        }

        /**
         * The list lags and still shows the minion as available. The minion's own report takes
         * precedence over it, and stays in effect after the next list.
         */
        @Test
        void aMinionThatReportsItIsLeavingGetsNothingMore() {
            Submission request = submission(Optional.of("billing"), false, 1, Resources.NONE);
            Action.Start start = starts(submit(request)).get(0);
            end(start, new Outcome.NotRun(RefusalCause.LEAVING, "leaving"));
            listVms(false);
            assertThat(placed(40)).doesNotContainKey(start.target().address());
        }
    }

    @Nested
    final class FailingWorkers {
        /**
         * A worker fails every task at once, so it always looks idle. After a few failures it gets
         * only one probe at a time, at growing intervals, until it works again.
         */
        @Test
        void aWorkerThatFailsEverythingIsQuarantined() {
            int atFailingWorker = 0;
            for (int i = 0; i < 200; i++) {
                for (Action.Start start :
                        starts(submit(submission(Optional.empty(), false, 1, SMALL)))) {
                    boolean failing = start.target().address().equals("w:1");
                    atFailingWorker += failing ? 1 : 0;
                    end(start, failing ? new Outcome.Failed("broken") : done(start));
                }
                advanceTime(50);
            }
            assertThat(atFailingWorker).isAtMost(9);
            int afterRecovery = 0;
            for (int i = 0; i < 100; i++) {
                for (Action.Start start :
                        starts(submit(submission(Optional.empty(), false, 1, SMALL)))) {
                    afterRecovery += start.target().address().equals("w:1") ? 1 : 0;
                    end(start, done(start));
                }
                advanceTime(500);
            }
            assertThat(afterRecovery).isAtLeast(20);
        }
    }

    @Nested
    final class LearnedNeeds {
        /**
         * Tasks use three times what they declare. Once that is learned, fewer are started on a
         * worker.
         */
        @Test
        void needsAreLearnedFromWhatWasUsed() {
            Resources used = new Resources(3_000, 300, 0);
            for (int i = 0; i < 10; i++) {
                for (Action.Start start :
                        starts(submit(submission(Optional.empty(), false, 1, SMALL)))) {
                    end(start, new Outcome.Succeeded("r", 100, used));
                }
            }
            assertThat(starts(submit(submission(Optional.empty(), false, 8, SMALL)))).hasSize(2);
        }
    }

    @Nested
    final class Cancelling {
        /**
         * Many jobs are cancelled, each of them twice: their queued tasks never start and leave the
         * queue.
         */
        @Test
        void aCancelledJobStartsNothingMore() {
            List<Submission> all = new ArrayList<>();
            for (int i = 0; i < 50; i++) {
                Submission submission = submission(Optional.empty(), false, 4, SMALL);
                submit(submission);
                all.add(submission);
            }
            for (Submission submission : all) {
                onEvent(new Event.Cancelled(submission.id(), 0));
                onEvent(new Event.Cancelled(submission.id(), 0));
            }
            assertThat(starts(advanceTime(50))).isEmpty();
            assertThat(mDispatcher.state(new ClockReading(mNowMs, WALL_MS)).queuedTasks())
                    .isEqualTo(0);
        }
    }

    @Nested
    final class Overload {
        /**
         * More jobs are submitted than can run before their deadlines. The rest is rejected at
         * once, with retry delays that are spread out.
         */
        @Test
        void aJobThatCannotMeetItsDeadlineIsRejectedAtOnce() {
            List<Long> retryDelaysMs = new ArrayList<>();
            for (int i = 0; i < 20_000 && retryDelaysMs.size() < 50; i++) {
                List<Action> actions = submit(submission(Optional.empty(), false, 4, SMALL));
                answer(actions)
                        .ifPresent(a -> retryDelaysMs.add(((Answer.Failed) a).retryAfterMs()));
            }
            assertThat(retryDelaysMs).hasSize(50);
            assertThat(retryDelaysMs.stream().distinct().count()).isAtLeast(40);
        }
    }

    @Nested
    final class Drains {
        @Test
        void aDrainEndsWhenEveryJobIsAnswered() {
            Action.Start start =
                    starts(submit(submission(Optional.empty(), false, 1, SMALL))).get(0);
            onEvent(new Event.DrainRequested(5_000));
            onEvent(new Event.DrainRequested(5_000));
            assertThat(failure(submit(submission(Optional.empty(), false, 1, SMALL))).kind())
                    .isEqualTo(FailureKind.NOT_RUN);
            assertThat(drained(advanceTime(50))).isEmpty();
            end(start, done(start));
            assertThat(drained(advanceTime(50))).hasSize(1);
            assertThat(drained(advanceTime(50))).isEmpty();
        }

        /**
         * A task is still running when the drain times out: its caller gets an answer before the
         * process exits.
         */
        @Test
        void unfinishedJobsFailWhenTheDrainTimesOut() {
            submit(submission(Optional.empty(), false, 1, SMALL));
            onEvent(new Event.DrainRequested(5_000));
            List<Action> actions = advanceTime(5_001);
            assertThat(failure(actions).kind()).isEqualTo(FailureKind.MAY_HAVE_RUN);
            assertThat(drained(actions)).containsExactly(new Action.ReportDrained(1, 1));
        }

        private List<Action> drained(List<Action> actions) {
            return actions.stream()
                    .filter(action -> action instanceof Action.ReportDrained)
                    .toList();
        }
    }
}
