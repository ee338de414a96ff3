package org.boragegap.core.cell;

import java.util.List;

/**
 * Log lines about the runs of a term. Those about orders, and about runs of other terms, state the
 * fencing token and the age of the term, so that orders of two controllers can be told apart.
 */
final class RunLog {
    private final Term mTerm;

    RunLog(Term term) {
        mTerm = term;
    }

    /** Logs all starts of a job on one line, because each log line costs processor time. */
    void started(CellJob job, List<Run> runs) {
        StringBuilder inputs = new StringBuilder(termInputs()).append(" waited_ms=");
        inputs.append(mTerm.nowMs() - job.arrivedMs()).append(" runs=");
        for (Run run : runs) {
            TaskName name = run.task().name();
            inputs.append(name.step()).append('.').append(name.index());
            inputs.append('#').append(run.number());
            inputs.append('@').append(run.target().id());
            inputs.append("(speed=").append(Math.round(run.target().speed() * 100));
            inputs.append(" free_cpu=").append(run.target().freeCpu()).append(") ");
        }
        String outcome = runs.size() + " ordered";
        mTerm.log(Decision.job("start", job.id(), inputs.toString().trim(), outcome));
    }

    void released(Run run, String cause) {
        log("release", run, "run=" + run.number() + " age_ms=" + ageMs(run), cause);
    }

    void ended(Run run, long tookMs, long expectedMs, EndCause cause) {
        String times = " took_ms=" + tookMs + " expected_ms=" + expectedMs;
        log("ended", run, "run=" + run.number() + times, cause.name());
    }

    void stuck(Run run) {
        long ageMs = mTerm.nowMs() - run.confirmedMs();
        String inputs = "age_ms=" + ageMs + " percent=" + run.percent();
        log("stuck", run, inputs, "stopped, to be started elsewhere");
    }

    void adopted(Run run) {
        log("adopt", run, termInputs() + " run=" + run.number(), "runs on");
    }

    /** A run is stopped because another run of its task is done. */
    void stoppedAsSuperseded(Run run) {
        String inputs = termInputs() + " run=" + run.number();
        log("stop", run, inputs, "the task is done in another run");
    }

    void stoppedForeign(Target target, Target.ForeignRun foreign) {
        mTerm.log(
                Decision.run(
                        "stop",
                        foreign.task(),
                        target.id(),
                        termInputs() + " run=" + foreign.run(),
                        "neither started nor adopted in this term"));
    }

    /**
     * Logs that a task runs twice.
     *
     * @param run the run that this term has started or adopted
     * @param target the target that reports the other run
     * @param foreign the other run
     */
    void doubled(Run run, Target target, Target.ForeignRun foreign) {
        String reported = " run=" + foreign.run();
        String other =
                " other_run="
                        + run.number()
                        + " other_target="
                        + run.target().id()
                        + " other_age_ms="
                        + ageMs(run)
                        + " other_state="
                        + run.state();
        mTerm.log(
                Decision.run(
                        "doubled",
                        foreign.task(),
                        target.id(),
                        termInputs() + reported + other,
                        "the run that was reported is to be stopped"));
    }

    private void log(String what, Run run, String inputs, String outcome) {
        mTerm.log(Decision.run(what, run.task().name(), run.target().id(), inputs, outcome));
    }

    private long ageMs(Run run) {
        return mTerm.nowMs() - run.orderedMs();
    }

    private String termInputs() {
        return "fence=" + mTerm.fence() + " term_age_ms=" + (mTerm.nowMs() - mTerm.sinceMs());
    }
}
