package org.boragegap.core.cell;

import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The active configuration: maps requests to queues, and queues to services.
 *
 * @param version increases with each change, not necessarily by one
 * @param routes all queues
 * @param services all services, by name
 */
public record Configuration(long version, List<Route> routes, Map<String, Service> services) {

    /**
     * A queue.
     *
     * @param name its name
     * @param host host name that callers use
     * @param prefix path prefix; the longest matching prefix wins
     * @param service service whose targets run its tasks
     * @param timeoutMs maximum duration of a request, in ms
     * @param objectiveBaseMs part of the objective that is independent of the work, in ms
     * @param stretch part of the objective that is proportional to the work, as a factor
     * @param urgency 0 is the most urgent
     * @param maxAttempts number of failed runs of one task after which its job fails
     * @param needsAdvice true when a platform service has to be asked which targets may run a step
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
     * @param enforcesCapacity true when its targets reject tasks that exceed their capacity
     */
    public record Service(String name, boolean enforcesCapacity) {}

    /** The queue of a request; empty when no queue matches. */
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
