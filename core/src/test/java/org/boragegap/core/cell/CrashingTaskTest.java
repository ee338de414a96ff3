package org.boragegap.core.cell;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * A job has a task that crashes every target that starts it. Started again and again, it takes down
 * one target after the other, together with the tasks of other callers there.
 */
final class CrashingTaskTest {
    private static final String JOB = "00000000000000c1";
    private static final String OTHER_JOB = "00000000000000c2";
    private static final TaskName TASK = new TaskName(JOB, 0, 0, 0);
    private static final TargetInfo FIRST = ScriptedCell.target("t1", "x:1", "a", 2_000);
    private static final TargetInfo SECOND = ScriptedCell.target("t2", "x:2", "a", 2_000);
    private static final TargetInfo FIRST_SUCCESSOR = ScriptedCell.target("t3", "x:1", "a", 2_000);

    /**
     * By then the leases of a target that stops answering have expired: calls to it extend them
     * until it counts as unresponsive.
     */
    private static final long LEASE_EXPIRED_MS = 6_000;

    /** By then crashes of the first seconds no longer count. */
    private static final long AFTER_RETENTION_MS = 120_000;

    private final ScriptedCell mCell = new ScriptedCell();

    @BeforeEach
    void begin() {
        mCell.evacuate(0);
        mCell.begin(0, 7, FIRST, SECOND);
        mCell.listed(5, FIRST, SECOND);
    }

    private void startAndCrash(long ms) {
        CellAction.StartRun start = mCell.starts().get(mCell.starts().size() - 1);
        mCell.acceptStart(ms, start);
        mCell.answerAsReplacement(ms + 10, start.target().id());
    }

    /**
     * The job starts on a target that becomes unresponsive until the lease of the run has expired.
     */
    private TargetInfo startAndLetLeaseExpire() {
        mCell.offer(10, JOB, 1);
        CellAction.StartRun start = mCell.starts().get(0);
        mCell.acceptStart(12, start);
        mCell.ticks(20, LEASE_EXPIRED_MS);
        return start.target();
    }

    @Test
    void taskIsNotStartedAfterTwoCrashes() {
        mCell.offer(10, JOB, 1);
        startAndCrash(12);
        assertThat(mCell.starts()).hasSize(2);
        assertThat(mCell.verdicts()).isEmpty();
        startAndCrash(40);
        assertThat(mCell.starts()).hasSize(2);
        assertThat(mCell.verdicts()).hasSize(1);
        assertThat(mCell.verdicts().get(0)).isInstanceOf(Verdict.InDoubt.class);
    }

    /** Guards against counting a start order that its target never accepted as a crash. */
    @Test
    void orderToReplacedTargetIsNotACrash() {
        mCell.offer(10, JOB, 1);
        startAndCrash(12);
        CellAction.StartRun notAccepted = mCell.starts().get(1);
        mCell.answerAsReplacement(40, notAccepted.target().id());
        assertThat(mCell.verdicts()).isEmpty();
        assertThat(mCell.actions(CellAction.BroadcastCrash.class)).hasSize(1);
    }

    /** The caller's connection broke, and the caller submits the job again after a while. */
    @Test
    void resubmittedJobIsNotStarted() {
        mCell.offer(10, JOB, 1);
        startAndCrash(12);
        startAndCrash(40);
        mCell.ticks(15_000, 15_000);
        mCell.clearActions();
        mCell.listed(15_010, FIRST_SUCCESSOR);
        mCell.offer(15_020, JOB, 1);
        assertThat(mCell.verdicts().get(0)).isInstanceOf(Verdict.InDoubt.class);
        assertThat(mCell.starts()).isEmpty();
    }

    /** Crashes are broadcast to the other VMs, since the next controller may be any of them. */
    @Test
    void nextControllerKnowsEarlierCrashes() {
        reportCrash("t0", CrashEvidence.CONFIRMED);
        mCell.offer(10, JOB, 1);
        String crashed = mCell.startedOn().get(0);
        startAndCrash(12);
        assertThat(mCell.actions(CellAction.BroadcastCrash.class))
                .containsExactly(crash(crashed, CrashEvidence.CONFIRMED));
        assertThat(mCell.verdicts().get(0)).isInstanceOf(Verdict.InDoubt.class);
    }

    /** Guards against counting twice a crash that two controllers have found. */
    @Test
    void crashReportedTwiceCountsOnce() {
        reportCrash("t0", CrashEvidence.CONFIRMED);
        reportCrash("t0", CrashEvidence.CONFIRMED);
        mCell.offer(10, JOB, 1);
        assertThat(mCell.starts()).hasSize(1);
        assertThat(mCell.verdicts()).isEmpty();
    }

    /**
     * Guards against ending a job after too few crashes when no target has confirmed a run of it.
     */
    @Test
    void threeUnconfirmedCrashesDoNotEndJob() {
        for (String target : List.of("c1", "c2", "c3")) {
            reportCrash(target, CrashEvidence.POSSIBLE);
        }
        mCell.offer(10, JOB, 1);
        assertThat(mCell.starts()).hasSize(1);
        assertThat(mCell.verdicts()).isEmpty();
    }

    /** Guards against endless restarts of a task that crashes its targets before they answer. */
    @Test
    void fourUnconfirmedCrashesEndJobInDoubt() {
        for (String target : List.of("c1", "c2", "c3", "c4")) {
            reportCrash(target, CrashEvidence.POSSIBLE);
        }
        mCell.offer(10, JOB, 1);
        assertThat(mCell.starts()).isEmpty();
        assertThat(mCell.verdicts().get(0)).isInstanceOf(Verdict.InDoubt.class);
    }

    /** Guards against starting a task that another VM has meanwhile found to crash its targets. */
    @Test
    void waitingJobEndsWhenCrashesAreReported() {
        mCell.offer(10, OTHER_JOB, 4);
        mCell.offer(11, JOB, 1);
        assertThat(mCell.starts()).hasSize(4);
        reportCrash("c1", CrashEvidence.CONFIRMED);
        reportCrash("c2", CrashEvidence.CONFIRMED);
        assertThat(mCell.verdicts()).hasSize(1);
        assertThat(mCell.verdicts().get(0)).isInstanceOf(Verdict.InDoubt.class);
    }

    /** Guards against endless restarts of a task because no successor of its targets is seen. */
    @Test
    void expiredLeasesWithoutSuccessorLimitStarts() {
        TargetInfo[] targets = new TargetInfo[8];
        for (int i = 0; i < targets.length; i++) {
            targets[i] = ScriptedCell.target("u" + i, "y:" + i, "a", 1_000);
        }
        mCell.listed(6, targets);
        for (TargetInfo target : targets) {
            mCell.report(7, target.id(), List.of(), List.of());
        }
        mCell.on(300, new CellEvent.Ticked());
        mCell.offer(310, JOB, 1);
        int accepted = 0;
        for (long ms = 320; ms <= 40_000; ms += 10) {
            mCell.on(ms, new CellEvent.Ticked());
            for (; accepted < mCell.starts().size(); accepted++) {
                mCell.acceptStart(ms, mCell.starts().get(accepted));
            }
            if (ms % 100 == 0) {
                for (TargetInfo target : targets) {
                    if (!mCell.startedOn().contains(target.id())) {
                        mCell.report(ms, target.id(), List.of(), List.of());
                    }
                }
            }
        }
        assertThat(mCell.starts().size()).isAtMost(4);
        assertThat(mCell.verdicts()).hasSize(1);
    }

    /** Guards against treating a start whose answer was lost as a confirmed run. */
    @Test
    void unconfirmedRunIsPossibleCrashCause() {
        mCell.offer(10, JOB, 1);
        CellAction.StartRun start = mCell.starts().get(0);
        mCell.unanswered(300, start);
        mCell.answerAsReplacement(800, start.target().id());
        assertThat(mCell.actions(CellAction.BroadcastCrash.class))
                .containsExactly(crash(start.target().id(), CrashEvidence.POSSIBLE));
    }

    /**
     * Guards against ending a job because of a late crash report about a task that is already done.
     */
    @Test
    void lateCrashReportDoesNotEndJobOfFinishedTask() {
        CellAction.StartRun expiredStart = restartAfterLeaseExpiry(2);
        CellAction.StartRun secondStart =
                mCell.starts().subList(2, 4).stream()
                        .filter(start -> start.task().equals(TASK))
                        .findFirst()
                        .orElseThrow();
        TargetReport.EndedRun done =
                new TargetReport.EndedRun(1, TASK, secondStart.run(), EndCause.DONE);
        mCell.report(LEASE_EXPIRED_MS + 100, secondStart.target().id(), List.of(), List.of(done));
        reportCrash("c1", CrashEvidence.CONFIRMED);
        mCell.listed(
                LEASE_EXPIRED_MS + 400, secondStart.target(), successorOf(expiredStart.target()));
        assertThat(mCell.actions(CellAction.BroadcastCrash.class))
                .contains(crash(expiredStart.target().id(), CrashEvidence.CONFIRMED));
        assertThat(mCell.verdicts()).isEmpty();
    }

    /** Guards against stopping an active run because of a late crash report. */
    @Test
    void lateCrashReportDoesNotStopActiveRun() {
        CellAction.StartRun expiredStart = restartAfterLeaseExpiry(1);
        CellAction.StartRun secondStart = mCell.starts().get(1);
        reportCrash("c1", CrashEvidence.CONFIRMED);
        mCell.listed(
                LEASE_EXPIRED_MS + 400, secondStart.target(), successorOf(expiredStart.target()));
        assertThat(mCell.actions(CellAction.BroadcastCrash.class))
                .containsExactly(crash(expiredStart.target().id(), CrashEvidence.CONFIRMED));
        assertThat(mCell.verdicts()).isEmpty();
        assertThat(mCell.actions(CellAction.StopRun.class)).isEmpty();
    }

    /**
     * Guards against restarting a task that reached a crash limit while its last run was active.
     */
    @Test
    void taskIsNotRestartedWhenActiveRunIsLost() {
        CellAction.StartRun expiredStart = restartAfterLeaseExpiry(1);
        CellAction.StartRun secondStart = mCell.starts().get(1);
        reportCrash("c1", CrashEvidence.CONFIRMED);
        mCell.listed(
                LEASE_EXPIRED_MS + 400, secondStart.target(), successorOf(expiredStart.target()));
        mCell.ticks(LEASE_EXPIRED_MS + 410, 2 * LEASE_EXPIRED_MS + 400);
        assertThat(mCell.starts()).hasSize(2);
        assertThat(mCell.verdicts()).hasSize(1);
        assertThat(mCell.verdicts().get(0)).isInstanceOf(Verdict.InDoubt.class);
    }

    private List<TargetReport.ActiveRun> activeRunsOn(TargetInfo target) {
        return mCell.starts().stream()
                .filter(start -> start.target().id().equals(target.id()))
                .map(start -> new TargetReport.ActiveRun(start.task(), start.run(), 90))
                .toList();
    }

    private static TargetInfo successorOf(TargetInfo gone) {
        return ScriptedCell.target("t9", gone.address(), "a", 2_000);
    }

    /**
     * All tasks of the job run on the first target, whose lease expires; they then start on another
     * target.
     */
    private CellAction.StartRun restartAfterLeaseExpiry(int tasks) {
        mCell.offer(10, JOB, tasks);
        CellAction.StartRun expiredStart = mCell.starts().get(0);
        TargetInfo other = expiredStart.target().equals(FIRST) ? SECOND : FIRST;
        mCell.starts().forEach(start -> mCell.acceptStart(12, start));
        int acceptedStarts = tasks;
        for (long ms = 20; ms <= LEASE_EXPIRED_MS; ms += 10) {
            mCell.on(ms, new CellEvent.Ticked());
            for (; acceptedStarts < mCell.starts().size(); acceptedStarts++) {
                mCell.acceptStart(ms, mCell.starts().get(acceptedStarts));
            }
            if (ms % 100 == 0) {
                mCell.report(ms, other.id(), activeRunsOn(other), List.of());
            }
        }
        assertThat(mCell.starts()).hasSize(2 * tasks);
        return expiredStart;
    }

    /** Guards against crashes that count however long ago they were. */
    @Test
    void oldCrashesDoNotCount() {
        reportCrash("c1", CrashEvidence.CONFIRMED);
        reportCrash("c2", CrashEvidence.CONFIRMED);
        mCell.offer(AFTER_RETENTION_MS, JOB, 1);
        assertThat(mCell.verdicts()).isEmpty();
    }

    /** Guards against an expired lease that counts as a crash however long ago it expired. */
    @Test
    void oldLeaseExpiryIsNotACrash() {
        TargetInfo gone = startAndLetLeaseExpire();
        mCell.listed(AFTER_RETENTION_MS, successorOf(gone));
        assertThat(mCell.actions(CellAction.BroadcastCrash.class)).isEmpty();
    }

    private void reportCrash(String target, CrashEvidence evidence) {
        mCell.on(5, new CellEvent.CrashReported(TASK, target, evidence));
    }

    private static CellAction.BroadcastCrash crash(String target, CrashEvidence evidence) {
        return new CellAction.BroadcastCrash(TASK, target, evidence);
    }

    /** A task that has crashed a target would take others' tasks with it if they ran beside it. */
    @Test
    void suspectTaskRunsAlone() {
        reportCrash("t0", CrashEvidence.POSSIBLE);
        mCell.offer(10, JOB, 1);
        mCell.offer(11, OTHER_JOB, 3);
        List<CellAction.StartRun> starts = mCell.starts();
        assertThat(starts).hasSize(3);
        String alone = starts.get(0).target().id();
        assertThat(mCell.startedOn().subList(1, 3)).doesNotContain(alone);
    }

    /** The target was cut off by a network partition and answers again: nothing has crashed. */
    @Test
    void leaseExpiryAloneIsNotACrash() {
        TargetInfo unresponsive = startAndLetLeaseExpire();
        mCell.report(LEASE_EXPIRED_MS + 10, unresponsive.id(), List.of(), List.of());
        mCell.listed(
                LEASE_EXPIRED_MS + 20, FIRST, SECOND, ScriptedCell.target("t9", "x:9", "a", 2_000));
        assertThat(mCell.actions(CellAction.BroadcastCrash.class)).isEmpty();
    }

    /**
     * The lease expires first; seconds later another incarnation is listed at the target's address.
     */
    @Test
    void leaseExpiryIsACrashOnceSuccessorIsListed() {
        TargetInfo gone = startAndLetLeaseExpire();
        TargetInfo successor = ScriptedCell.target("t9", gone.address(), "a", 2_000);
        mCell.listed(LEASE_EXPIRED_MS + 10, successor);
        assertThat(mCell.actions(CellAction.BroadcastCrash.class))
                .containsExactly(crash(gone.id(), CrashEvidence.CONFIRMED));
    }

    /** The target was draining, and its runs were killed when it left. */
    @Test
    void drainingTargetHasNotCrashed() {
        mCell.offer(10, JOB, 1);
        TargetInfo info = mCell.starts().get(0).target();
        mCell.listed(15, ScriptedCell.leaving(info));
        mCell.answerAsReplacement(20, info.id());
        assertThat(mCell.actions(CellAction.BroadcastCrash.class)).isEmpty();
    }

    /** Guards against counting a planned leave as a crash when the lease expires first. */
    @Test
    void drainingTargetHasNotCrashedWhenLeaseExpires() {
        mCell.offer(10, JOB, 1);
        CellAction.StartRun start = mCell.starts().get(0);
        TargetInfo info = start.target();
        mCell.acceptStart(12, start);
        mCell.listed(15, ScriptedCell.leaving(info));
        mCell.ticks(20, LEASE_EXPIRED_MS);
        mCell.listed(LEASE_EXPIRED_MS + 10, ScriptedCell.target("t9", info.address(), "a", 2_000));
        assertThat(mCell.actions(CellAction.BroadcastCrash.class)).isEmpty();
    }

    /**
     * The successor of a crashed target is healthy and used at once: the task was at fault, not the
     * target.
     */
    @Test
    void healthySuccessorIsUsedImmediately() {
        mCell.offer(10, JOB, 1);
        startAndCrash(12);
        startAndCrash(40);
        mCell.listed(60, FIRST_SUCCESSOR);
        mCell.report(70, "t3", List.of(), List.of());
        mCell.clearActions();
        mCell.offer(300, OTHER_JOB, 2);
        assertThat(mCell.startedOn()).containsExactly("t3", "t3");
    }
}
