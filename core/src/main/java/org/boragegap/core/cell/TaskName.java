package org.boragegap.core.cell;

import java.util.Optional;

/**
 * Identifies one task of a job.
 *
 * @param job id of the job, 16 hexadecimal digits
 * @param occurrence repetition of the job, from 0; 0 for a job that runs once
 * @param step position of the step in the job
 * @param index position of the task in its step
 */
public record TaskName(String job, int occurrence, int step, int index) {
    private static final int PART_COUNT = 4;

    /** The name in the format that targets use. */
    public String text() {
        return job + '.' + occurrence + '.' + step + '.' + index;
    }

    /** Parses a name; empty if the text is not a valid name. */
    public static Optional<TaskName> parse(String text) {
        String[] parts = text.split("\\.");
        if (parts.length != PART_COUNT) {
            return Optional.empty();
        }
        try {
            int occurrence = Integer.parseInt(parts[1]);
            int step = Integer.parseInt(parts[2]);
            int index = Integer.parseInt(parts[3]);
            return Optional.of(new TaskName(parts[0], occurrence, step, index));
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }
}
