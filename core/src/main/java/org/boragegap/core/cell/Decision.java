package org.boragegap.core.cell;

/**
 * A decision that touches a request or changes what the process believes, for the log.
 *
 * @param what what was decided, a short constant such as {@code start}
 * @param job id of the job; empty if it touches none
 * @param task name of the task; empty if it touches none
 * @param target id of the target; empty if it touches none
 * @param inputs what decided it, with ages and versions, as {@code name=value} pairs
 * @param outcome what follows from it
 */
public record Decision(
        String what, String job, String task, String target, String inputs, String outcome) {

    /** A decision about a job. */
    public static Decision job(String what, String job, String inputs, String outcome) {
        return new Decision(what, job, "", "", inputs, outcome);
    }

    /** A decision about one run of a task. */
    public static Decision run(
            String what, TaskName task, String target, String inputs, String outcome) {
        return new Decision(what, task.job(), task.text(), target, inputs, outcome);
    }

    /** A decision about a target. */
    public static Decision target(String what, String target, String inputs, String outcome) {
        return new Decision(what, "", "", target, inputs, outcome);
    }

    /** A decision of the process about itself. */
    public static Decision self(String what, String inputs, String outcome) {
        return new Decision(what, "", "", "", inputs, outcome);
    }
}
