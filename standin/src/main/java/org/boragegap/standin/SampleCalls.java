package org.boragegap.standin;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.boragegap.platform.PlatformJson;
import org.boragegap.platform.Topics;

/** Sample calls of operators and clients of the platform, for quick starts and tests. */
public final class SampleCalls {
    /** Service that runs the tasks of all sample queues. */
    public static final String SERVICE = "tasks";

    /** Host name of all sample queues. */
    public static final String HOST = "127.0.0.1";

    private static final int TIMEOUT_MS = 5_000;
    private static final int TARGET_DURATION_MS = 5_000;
    private static final int MAX_ATTEMPTS = 3;
    private static final double STRETCH = 1.6;
    private static final int TASK_CPU_MILLIS = 1_000;
    private static final int TASK_MEMORY_MB = 10;
    private static final int ESTIMATE_MS = 100;

    private SampleCalls() {}

    /** Writes a configuration with a queue for each path prefix to a store. */
    public static void putConfiguration(StoreStandin store, int version, String... prefixes) {
        ObjectNode configuration = PlatformJson.object().put("Version", version);
        ArrayNode routes = configuration.putArray("Routes");
        for (String prefix : prefixes) {
            routes.addObject()
                    .put("Name", "r" + prefix)
                    .put("Host", HOST)
                    .put("PathPrefix", prefix)
                    .put("TimeoutMs", TIMEOUT_MS)
                    .put("TargetDurationMs", TARGET_DURATION_MS)
                    .put("Priority", 0)
                    .put("Service", SERVICE)
                    .put("MaxAttempts", MAX_ATTEMPTS)
                    .put("Stretch", STRETCH);
        }
        configuration
                .putArray("Services")
                .addObject()
                .put("Name", SERVICE)
                .put("AdmissionCheck", false);
        store.put(Topics.OPERATORS, Topics.CONFIGURATION_KEY, configuration.toString());
    }

    /**
     * Body of a best-effort job, which need not be stored.
     *
     * @param tasks number of tasks
     * @param spec instructions for a target stand-in; a number is the run time in ms
     */
    public static String jobBody(int tasks, String spec) {
        ObjectNode job = PlatformJson.object().put("Spec", spec).put("BestEffort", true);
        job.putArray("Steps")
                .addObject()
                .put("Count", tasks)
                .put("Cpu", TASK_CPU_MILLIS)
                .put("MemMb", TASK_MEMORY_MB)
                .put("EstimateMs", ESTIMATE_MS);
        return job.toString();
    }
}
