package org.boragegap.core.cell;

import java.util.Arrays;
import java.util.Optional;

/**
 * A log entry for a decision that affects a request or the state of the process.
 *
 * @param what kind of decision, a short constant such as {@code start}
 * @param job id of the job; empty if none is concerned
 * @param task name of the task; empty if none is concerned
 * @param target id of the target; empty if none is concerned
 * @param inputs the inputs of the decision, with ages and versions, as {@code name=value} pairs
 * @param outcome the result of the decision
 */
public record Decision(
        String what, String job, String task, String target, String inputs, String outcome) {

    /** Creates a decision about a job. */
    public static Decision job(String what, String job, String inputs, String outcome) {
        return new Decision(what, job, "", "", inputs, outcome);
    }

    /** Creates a decision about one run of a task. */
    public static Decision run(
            String what, TaskName task, String target, String inputs, String outcome) {
        return new Decision(what, task.job(), task.text(), target, inputs, outcome);
    }

    /** Creates a decision about a target. */
    public static Decision target(String what, String target, String inputs, String outcome) {
        return new Decision(what, "", "", target, inputs, outcome);
    }

    /** Creates a decision about the process itself. */
    public static Decision self(String what, String inputs, String outcome) {
        return new Decision(what, "", "", "", inputs, outcome);
    }

    /** The value of an input; empty if the decision has no input of that name. */
    public Optional<String> input(String name) {
        String prefix = name + "=";
        return Arrays.stream(inputs.split(" "))
                .filter(pair -> pair.startsWith(prefix))
                .map(pair -> pair.substring(prefix.length()))
                .findFirst();
    }
}
