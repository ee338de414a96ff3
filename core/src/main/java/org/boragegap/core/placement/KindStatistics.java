package org.boragegap.core.placement;

import java.util.HashMap;
import java.util.Map;
import org.boragegap.core.job.Need;
import org.boragegap.core.job.TaskSpec;

/**
 * Learns run times and needs per kind of task, since declared ones are often far off.
 *
 * <p>Keeps a moving mean and mean deviation of each; an estimate is the mean plus a margin of two
 * deviations. Until enough was seen, the declaration stands.
 */
public final class KindStatistics {
    private static final int ENOUGH = 8;
    private static final int MARGIN_DEVIATIONS = 2;

    private static final class Series {
        private static final double WEIGHT = 0.1;
        private double mMean;
        private double mDeviation;
        private long mCount;

        void add(double value) {
            if (mCount++ == 0) {
                mMean = value;
                return;
            }
            mDeviation += WEIGHT * (Math.abs(value - mMean) - mDeviation);
            mMean += WEIGHT * (value - mMean);
        }

        double upper() {
            return mMean + MARGIN_DEVIATIONS * mDeviation;
        }
    }

    private static final class Kind {
        private final Series mTookMs = new Series();
        private final Series mCpuMillis = new Series();
        private final Series mMemoryMb = new Series();
    }

    private final Map<String, Kind> mKinds = new HashMap<>();

    /** Takes what a finished task took and used. */
    public void add(String kind, long tookMs, Need used) {
        Kind seen = mKinds.computeIfAbsent(kind, name -> new Kind());
        seen.mTookMs.add(tookMs);
        seen.mCpuMillis.add(used.cpuMillis());
        seen.mMemoryMb.add(used.memoryMb());
    }

    /** Expected run time in milliseconds. */
    public double expectedMs(String kind, TaskSpec task) {
        Kind seen = mKinds.get(kind);
        return known(seen) ? Math.max(1, seen.mTookMs.mMean) : Math.max(1, task.expectedMs());
    }

    /** What to account for; accelerators are taken as declared, they are not shared. */
    public Need need(String kind, TaskSpec task) {
        Kind seen = mKinds.get(kind);
        if (!known(seen) || seen.mCpuMillis.mMean <= 0) {
            return task.need();
        }
        return new Need(
                (int) Math.ceil(seen.mCpuMillis.upper()),
                (int) Math.ceil(seen.mMemoryMb.upper()),
                task.need().accelerators());
    }

    private static boolean known(Kind seen) {
        return seen != null && seen.mTookMs.mCount >= ENOUGH;
    }
}
