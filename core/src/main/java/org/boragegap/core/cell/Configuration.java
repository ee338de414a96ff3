package org.boragegap.core.cell;

import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The configuration in force: which queue a request belongs to, and which service runs it.
 *
 * @param version rises with each change, in uneven steps
 * @param routes all queues
 * @param services all services, by name
 */
public record Configuration(long version, List<Route> routes, Map<String, Service> services) {

    /**
     * A queue.
     *
     * @param name its name
     * @param host host name that callers use
     * @param prefix path prefix; the longest one that fits wins
     * @param service service whose targets run its tasks
     * @param timeoutMs how long a request may take, in ms
     * @param objectiveBaseMs part of the objective that doesn't depend on the work, in ms
     * @param stretch part of the objective that does, as a factor
     * @param urgency 0 is the most urgent
     * @param maxAttempts failed runs of one task after which its job has failed
     * @param needsAdvice true when only a service of the platform knows which targets may run a
     *     step
     */
    public record Route(
            String name,
            String host,
            String prefix,
            String service,
            long timeoutMs,
            long objectiveBaseMs,
            double stretch,
            int urgency,
            int maxAttempts,
            boolean needsAdvice) {}

    /**
     * A service.
     *
     * @param name its name
     * @param enforcesCapacity true when its targets reject what doesn't fit
     */
    public record Service(String name, boolean enforcesCapacity) {}

    /** The queue of a request; empty when there is none. */
    public Optional<Route> route(String host, String path) {
        Route best = null;
        for (Route route : routes) {
            boolean fits = route.host().equals(host) && path.startsWith(route.prefix());
            if (fits && (best == null || route.prefix().length() > best.prefix().length())) {
                best = route;
            }
        }
        return Optional.ofNullable(best);
    }
}
