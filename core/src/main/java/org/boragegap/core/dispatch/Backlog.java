package org.boragegap.core.dispatch;

import java.util.HashMap;
import java.util.Map;

/** How much work waits for a target, by service. */
final class Backlog {
    private static final class ServiceBacklog {
        private int mTasks;
        private double mWorkMs;
    }

    private final Map<String, ServiceBacklog> mByService = new HashMap<>();
    private int mTasks;

    void add(String service, int tasks, double workMs) {
        ServiceBacklog amount = mByService.computeIfAbsent(service, name -> new ServiceBacklog());
        amount.mTasks += tasks;
        amount.mWorkMs += workMs;
        mTasks += tasks;
    }

    void remove(String service, int tasks, double workMs) {
        ServiceBacklog amount = mByService.get(service);
        amount.mTasks -= tasks;
        amount.mWorkMs = amount.mTasks == 0 ? 0 : Math.max(0, amount.mWorkMs - workMs);
        mTasks -= tasks;
    }

    int tasks() {
        return mTasks;
    }

    double workMs(String service) {
        ServiceBacklog amount = mByService.get(service);
        return amount == null ? 0 : amount.mWorkMs;
    }

    Map<String, Integer> tasksByService() {
        Map<String, Integer> tasks = new HashMap<>();
        mByService.forEach((service, amount) -> tasks.put(service, amount.mTasks));
        return tasks;
    }
}
