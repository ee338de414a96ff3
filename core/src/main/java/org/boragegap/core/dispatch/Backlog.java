package org.boragegap.core.dispatch;

import java.util.HashMap;
import java.util.Map;

/** Number and expected run time of the tasks that wait for a target, by service. */
final class Backlog {
    private static final class ServiceBacklog {
        private int mTasks;
        private double mWorkMs;
    }

    private final Map<String, ServiceBacklog> mByService = new HashMap<>();
    private int mTasks;

    void add(String service, int tasks, double workMs) {
        ServiceBacklog backlog = mByService.computeIfAbsent(service, name -> new ServiceBacklog());
        backlog.mTasks += tasks;
        backlog.mWorkMs += workMs;
        mTasks += tasks;
    }

    void remove(String service, int tasks, double workMs) {
        ServiceBacklog backlog = mByService.get(service);
        backlog.mTasks -= tasks;
        backlog.mWorkMs = backlog.mTasks == 0 ? 0 : Math.max(0, backlog.mWorkMs - workMs);
        mTasks -= tasks;
    }

    int tasks() {
        return mTasks;
    }

    double workMs(String service) {
        ServiceBacklog backlog = mByService.get(service);
        return backlog == null ? 0 : backlog.mWorkMs;
    }

    Map<String, Integer> tasksByService() {
        Map<String, Integer> tasks = new HashMap<>();
        mByService.forEach((service, backlog) -> tasks.put(service, backlog.mTasks));
        return tasks;
    }
}
