package org.boragegap.core.cell;

import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;

/** Tasks that targets have reported as done, of jobs that have not been offered in this term. */
final class ForeignDoneTasks {
    /** Maximum number of tasks kept; covers a few seconds. */
    private static final int MAX_TASKS = 5_000;

    private final Set<TaskName> mTasks = new LinkedHashSet<>();

    /** Adds a task, and removes the oldest one if there are too many. */
    void add(TaskName task) {
        mTasks.add(task);
        if (mTasks.size() > MAX_TASKS) {
            Iterator<TaskName> oldest = mTasks.iterator();
            oldest.next();
            oldest.remove();
        }
    }

    boolean contains(TaskName task) {
        return mTasks.contains(task);
    }
}
