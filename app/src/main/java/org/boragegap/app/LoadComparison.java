package org.boragegap.app;

import java.util.LinkedHashMap;
import java.util.Map;

/** Runs the same load with the usual policies and with the baseline policies, in turn. */
final class LoadComparison {
    private static final String USUAL_SETTINGS = "";
    private static final String BASELINE_SETTINGS =
            "[policy]\nplacement = ROUND_ROBIN\norder = FIFO\n[limits]\nrefuse_hopeless = false";

    /**
     * Options of a comparison.
     *
     * @param seed seed of the random arrivals
     * @param loadPercent offered load in percent of the capacity
     * @param seconds duration of a run
     * @param faults whether one entry VM and two targets fail after a third of the run
     * @param policy {@code usual}, {@code baseline} or {@code both}
     */
    record Options(long seed, int loadPercent, int seconds, boolean faults, String policy) {}

    private LoadComparison() {}

    static Map<String, LoadRun.Result> run(Options options) throws Exception {
        Map<String, LoadRun.Result> results = new LinkedHashMap<>();
        if (!options.policy().equals("baseline")) {
            results.put("usual", new LoadRun(options, USUAL_SETTINGS).run());
        }
        if (!options.policy().equals("usual")) {
            results.put("baseline", new LoadRun(options, BASELINE_SETTINGS).run());
        }
        return results;
    }
}
