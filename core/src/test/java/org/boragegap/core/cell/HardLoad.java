package org.boragegap.core.cell;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Arrivals at one of the five cells of the two deployments in docs/HARD-LOAD.md: 49 targets that
 * hold two or three tasks each. The width of a job is up to four times the mean of its queue.
 */
enum HardLoad {
    /** Speeds far apart, a wave, and bursts of 1.3 to 1.8 on one queue at a time. */
    A(
            new double[] {0.7, 0.7, 1.7},
            0.55,
            List.of(
                    new LoadSimulation.Kind("A0", 0, 127, 8, 51, 0.0291),
                    new LoadSimulation.Kind("A1", 1, 370, 2, 170, 0.01),
                    new LoadSimulation.Kind("A2", 2, 23, 4, 760, 0.16)),
            new double[] {1.3, 1.3, 1.3},
            new double[] {1.8, 1.8, 1.8}),

    /** Speeds closer together, no wave, and bursts of up to 2.5 on the queue of the long jobs. */
    B(
            new double[] {0.8, 1.0, 1.25},
            0,
            List.of(
                    new LoadSimulation.Kind("B0", 0, 144, 8, 60, 0.0291),
                    new LoadSimulation.Kind("B1", 1, 420, 2, 200, 0.01),
                    new LoadSimulation.Kind("B2", 2, 26, 4, 900, 0.16)),
            new double[] {1.8, 1.0, 2.0},
            new double[] {1.8, 1.0, 2.5});

    private static final int CELLS = 5;
    private static final double WAVE_MS = 17_000;
    private static final long BURST_PERIOD_MS = 8_000;
    private static final long BURST_MS = 3_000;

    private final double[] mSpeeds;
    private final double mWave;
    private final List<LoadSimulation.Kind> mKinds;
    private final double[] mMinBurst;
    private final double[] mMaxBurst;

    HardLoad(
            double[] speeds,
            double wave,
            List<LoadSimulation.Kind> kinds,
            double[] minBurst,
            double[] maxBurst) {
        mSpeeds = speeds;
        mWave = wave;
        mKinds = kinds;
        mMinBurst = minBurst;
        mMaxBurst = maxBurst;
    }

    LoadSimulation.Site site() {
        return siteWith(mSpeeds);
    }

    /** The same cell with other speeds of its targets. */
    static LoadSimulation.Site siteWith(double... speeds) {
        return new LoadSimulation.Site(49, 16_000, 32_000, 48_000, speeds);
    }

    LoadSimulation.Kind kind(int urgency) {
        return mKinds.get(urgency);
    }

    /** Arrivals at {@code load} times the mean rate, with the wave and the bursts. */
    List<LoadSimulation.Arrival> arrivals(long seed, double load, long lengthMs) {
        double[][] bursts = bursts(new SplittableRandom(~seed), lengthMs);
        return arrivals(seed, load, lengthMs, bursts);
    }

    /** Arrivals with the wave, and one burst of a queue from the middle to the end. */
    List<LoadSimulation.Arrival> burstOf(
            int urgency, double factor, long seed, double load, long lengthMs) {
        double[][] bursts = new double[(int) (lengthMs / BURST_PERIOD_MS) + 1][mKinds.size()];
        for (int period = bursts.length / 2; period < bursts.length; period++) {
            bursts[period][urgency] = factor;
        }
        return arrivals(seed, load, lengthMs, bursts);
    }

    private double[][] bursts(SplittableRandom random, long lengthMs) {
        double[][] bursts = new double[(int) (lengthMs / BURST_PERIOD_MS) + 1][mKinds.size()];
        for (double[] burst : bursts) {
            int queue = random.nextInt(mKinds.size());
            double range = mMaxBurst[queue] - mMinBurst[queue];
            burst[queue] = mMinBurst[queue] + range * random.nextDouble();
        }
        return bursts;
    }

    private List<LoadSimulation.Arrival> arrivals(
            long seed, double load, long lengthMs, double[][] bursts) {
        SplittableRandom random = new SplittableRandom(seed);
        List<LoadSimulation.Arrival> all = new ArrayList<>();
        for (int queue = 0; queue < mKinds.size(); queue++) {
            LoadSimulation.Kind kind = mKinds.get(queue);
            double headroom = headroom(bursts, queue);
            double maxPerMs = headroom * load * kind.rate() / CELLS / 1_000;
            double atMs = 0;
            while (true) {
                atMs += -Math.log(1 - random.nextDouble()) / maxPerMs;
                if (atMs >= lengthMs) {
                    break;
                }
                double burst =
                        atMs % BURST_PERIOD_MS < BURST_MS
                                ? Math.max(1, bursts[(int) (atMs / BURST_PERIOD_MS)][queue])
                                : 1;
                double wave = 1 + mWave * Math.sin(2 * Math.PI * atMs / WAVE_MS);
                if (random.nextDouble() < wave * burst / headroom) {
                    all.add(arrival(random, (long) atMs, kind));
                }
            }
        }
        all.sort(Comparator.comparingLong(LoadSimulation.Arrival::atMs));
        List<LoadSimulation.Arrival> numbered = new ArrayList<>();
        for (LoadSimulation.Arrival arrival : all) {
            numbered.add(arrival.withNumber(numbered.size()));
        }
        return numbered;
    }

    /** Upper bound of the wave times the bursts of a queue. */
    private double headroom(double[][] bursts, int queue) {
        double max = 4;
        for (double[] burst : bursts) {
            max = Math.max(max, (1 + mWave) * burst[queue]);
        }
        return max;
    }

    private static LoadSimulation.Arrival arrival(
            SplittableRandom random, long atMs, LoadSimulation.Kind kind) {
        double width = -Math.log(1 - random.nextDouble()) * kind.width();
        int count = (int) Math.max(1, Math.min(4 * kind.width(), Math.round(width)));
        long workMs = Math.round(kind.workMs() * LoadSimulation.randomFactor(random));
        return new LoadSimulation.Arrival(atMs, 0, kind, count, workMs);
    }
}
