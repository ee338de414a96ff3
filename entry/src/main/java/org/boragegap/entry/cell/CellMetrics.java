package org.boragegap.entry.cell;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.Timer;
import io.micrometer.core.instrument.binder.jvm.JvmMemoryMetrics;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import org.boragegap.core.cell.CellState;
import org.boragegap.core.cell.Decision;
import org.boragegap.core.cell.Verdict;

/** Metrics of an entry process on the users' platform. */
final class CellMetrics {
    /** Outcome of the decision {@code control} by which a term begins. */
    private static final String TERM_BEGAN = "this VM controls the cell";

    private final PrometheusMeterRegistry mRegistry =
            new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    private final Map<Class<?>, Timer> mAnswerTimers = new HashMap<>();
    private final Counter mRefused = Counter.builder("boragegap.refused").register(mRegistry);
    private final Counter mNotFound = Counter.builder("boragegap.not.found").register(mRegistry);
    private final Counter mTerms = Counter.builder("boragegap.terms").register(mRegistry);
    private final Counter mCallersLeft =
            Counter.builder("boragegap.callers.left").register(mRegistry);
    private volatile CellState mState = CellState.NONE;
    private volatile int mWaitingCallers;
    private boolean mJvmMetricsBound;
    private volatile long mConfigVersion;

    CellMetrics() {
        for (Class<?> verdict : Verdict.class.getPermittedSubclasses()) {
            mAnswerTimers.put(
                    verdict,
                    Timer.builder("boragegap.answers")
                            .tag("verdict", verdict.getSimpleName())
                            .publishPercentileHistogram()
                            .minimumExpectedValue(Duration.ofMillis(1))
                            .maximumExpectedValue(Duration.ofSeconds(10))
                            .register(mRegistry));
        }
        gauge("boragegap.control.fence", CellState::fence);
        gauge("boragegap.control.targets", CellState::targets);
        gauge("boragegap.control.targets.open", CellState::schedulable);
        gauge("boragegap.control.jobs", CellState::jobs);
        gauge("boragegap.control.runs", CellState::runs);
        gauge("boragegap.control.targets.lent", CellState::lent);
        gauge("boragegap.control.targets.borrowed", CellState::borrowed);
        Gauge.builder("boragegap.callers.waiting", this, m -> m.mWaitingCallers)
                .register(mRegistry);
        Gauge.builder("boragegap.config.version", this, m -> m.mConfigVersion).register(mRegistry);
    }

    private void gauge(String name, ToDoubleFunction<CellState> value) {
        Gauge.builder(name, this, metrics -> value.applyAsDouble(metrics.mState))
                .register(mRegistry);
    }

    void answered(Verdict verdict, long waitedMs) {
        mAnswerTimers.get(verdict.getClass()).record(Duration.ofMillis(waitedMs));
    }

    void refused() {
        mRefused.increment();
    }

    void notFound() {
        mNotFound.increment();
    }

    void callerLeft() {
        mCallersLeft.increment();
    }

    /** Counts the terms of this VM, and by which evidence they were settled. */
    void decided(Decision decision) {
        if (decision.what().equals("control") && decision.outcome().equals(TERM_BEGAN)) {
            mTerms.increment();
        } else if (decision.what().equals("settled")) {
            mRegistry
                    .counter(
                            "boragegap.terms.settled",
                            "evidence",
                            decision.input("evidence").orElse("unknown"))
                    .increment();
        }
    }

    /** Reports how many values of the platform were invalid and have been replaced. */
    void settingsReplaced(int count) {
        Gauge.builder("boragegap.settings.replaced", () -> count).register(mRegistry);
    }

    void update(CellState state, int waiting, long configVersion) {
        mState = state;
        mWaitingCallers = waiting;
        mConfigVersion = configVersion;
    }

    /**
     * Returns all metrics as text. Those of the JVM are registered by the first call, since nothing
     * else reads them.
     */
    synchronized String scrape() {
        if (!mJvmMetricsBound) {
            mJvmMetricsBound = true;
            new JvmMemoryMetrics().bindTo(mRegistry);
        }
        return mRegistry.scrape();
    }
}
