package org.boragegap.entry;

import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.binder.jvm.JvmMemoryMetrics;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.util.Locale;
import java.util.function.ToDoubleFunction;
import org.boragegap.core.dispatch.Counters;
import org.boragegap.core.dispatch.DispatcherState;

/**
 * Metrics of an entry process, based on the last state of the dispatcher given to {@link #update}.
 */
final class Metrics {
    private final PrometheusMeterRegistry mRegistry =
            new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    private volatile DispatcherState mLastState;

    Metrics() {
        new JvmMemoryMetrics().bindTo(mRegistry);
        for (Counters.Name name : Counters.Name.values()) {
            String metric = "boragegap." + name.name().toLowerCase(Locale.ROOT).replace('_', '.');
            FunctionCounter.builder(metric, this, metrics -> metrics.counterValue(name))
                    .register(mRegistry);
        }
        gauge("boragegap.ready", state -> state.ready() ? 1 : 0);
        gauge("boragegap.queued.tasks", DispatcherState::queuedTasks);
        gauge("boragegap.running.attempts", DispatcherState::runningAttempts);
        gauge("boragegap.unanswered", DispatcherState::unanswered);
        gauge("boragegap.claims.kept", DispatcherState::claimsKept);
        gauge("boragegap.claims.pending", DispatcherState::claimsPending);
        gauge("boragegap.bundle.version", DispatcherState::bundleVersion);
        gauge(
                "boragegap.view.members",
                state -> state.view().map(view -> view.members().size()).orElse(0));
        gauge(
                "boragegap.targets.quarantined",
                state -> state.targets().stream().filter(t -> t.quarantined()).count());
        gauge(
                "boragegap.targets.leaving",
                state -> state.targets().stream().filter(t -> t.leaving()).count());
    }

    private void gauge(String name, ToDoubleFunction<DispatcherState> value) {
        Gauge.builder(name, this, metrics -> metrics.gaugeValue(value)).register(mRegistry);
    }

    private double gaugeValue(ToDoubleFunction<DispatcherState> value) {
        DispatcherState state = mLastState;
        return state == null ? 0 : value.applyAsDouble(state);
    }

    private double counterValue(Counters.Name name) {
        DispatcherState state = mLastState;
        return state == null ? 0 : state.counters().getOrDefault(name, 0L);
    }

    void update(DispatcherState state) {
        mLastState = state;
    }

    String scrape() {
        return mRegistry.scrape();
    }
}
