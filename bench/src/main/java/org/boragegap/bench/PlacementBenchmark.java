package org.boragegap.bench;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.boragegap.core.ClockReading;
import org.boragegap.core.claim.ClaimLimits;
import org.boragegap.core.claim.Member;
import org.boragegap.core.dispatch.Action;
import org.boragegap.core.dispatch.CallerRef;
import org.boragegap.core.dispatch.DispatchSettings;
import org.boragegap.core.dispatch.Dispatcher;
import org.boragegap.core.dispatch.Event;
import org.boragegap.core.job.Outcome;
import org.boragegap.core.job.Resources;
import org.boragegap.core.job.Submission;
import org.boragegap.core.job.SubmissionId;
import org.boragegap.core.job.TaskSpec;
import org.boragegap.core.membership.ListedVm;
import org.boragegap.core.membership.VmKind;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/** Measures one task from its submission and placement to its answer, in the whole dispatcher. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 3, time = 1)
@Fork(1)
public class PlacementBenchmark {
    private static final String DOMAIN = "fd";
    private static final Resources CAPACITY = new Resources(16_000, 32_768, 2);
    private static final Resources NEED = new Resources(1_000, 512, 0);
    private static final int IN_FLIGHT = 100;

    /** Number of workers that this VM places tasks on. */
    @Param({"30", "300", "1400"})
    public int mWorkers;

    /** Number of teams that submit in turn. */
    @Param({"1", "180"})
    public int mTeams;

    private final Deque<Long> mRunningAttempts = new ArrayDeque<>();
    private Dispatcher mDispatcher;
    private long mNextId;

    /** Lists the workers and starts {@link #IN_FLIGHT} tasks on them. */
    @Setup
    public void setUp() {
        mDispatcher =
                Dispatcher.create(
                        new Member("vm:1", 1),
                        DispatchSettings.defaults(DOMAIN, List.of(DOMAIN)),
                        ClaimLimits.defaults(),
                        new SplittableRandom(1));
        List<ListedVm> vms = new ArrayList<>();
        for (int i = 0; i < mWorkers; i++) {
            vms.add(new ListedVm("w:" + i, DOMAIN, VmKind.WORKER, "", false, CAPACITY, 64));
        }
        handle(new Event.VmsListed(vms));
        for (int i = 0; i < IN_FLIGHT; i++) {
            submit();
        }
    }

    private List<Action> handle(Event event) {
        List<Action> actions = new ArrayList<>();
        mDispatcher.onEvent(event, new ClockReading(mNextId / 1_000, mNextId / 1_000), actions);
        return actions;
    }

    private void submit() {
        long number = mNextId++;
        SubmissionId id =
                new SubmissionId("id" + number, number, Optional.of(DOMAIN), Optional.of("vm:1"));
        Submission submission =
                new Submission(
                        id,
                        "team" + number % mTeams,
                        "kind",
                        Optional.empty(),
                        false,
                        number + 1_000_000,
                        List.of(new TaskSpec(0, NEED, 100, "")),
                        1);
        CallerRef caller = new CallerRef.HttpCaller(number);
        for (Action action : handle(new Event.Submitted(caller, submission, true, 0))) {
            if (action instanceof Action.Start start) {
                mRunningAttempts.add(start.attempt());
            }
        }
    }

    /** Submits and places a task, and ends the oldest running one. */
    @Benchmark
    public void submitPlaceAndEnd() {
        submit();
        handle(
                new Event.AttemptEnded(
                        mRunningAttempts.poll(), new Outcome.Succeeded("r", 100, NEED)));
    }
}
