package org.ibissaddle.route;

import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import org.ibissaddle.id.Region;

/**
 * Routing rule for requests of one host and path prefix.
 *
 * @param name name of the route
 * @param host host of the requests, in lower case
 * @param pathPrefix prefix of the request paths; starts and ends with a slash
 * @param kind kind of the requests, which determines whether they may be retried
 * @param timeoutMs maximum time until the response is complete, in milliseconds
 * @param targetLatencyMs latency objective in milliseconds
 * @param priority priority among the routes; 0 is the highest
 * @param services the services that serve the requests
 * @param maxAttempts maximum number of servers to which one request may be sent
 * @param resumable whether another server may continue a stream after its last event
 * @param homeRegions regions that may serve the requests; empty for all
 * @param isPublic whether requests need no API key
 */
public record Route(
        String name,
        String host,
        String pathPrefix,
        RequestKind kind,
        long timeoutMs,
        long targetLatencyMs,
        int priority,
        List<WeightedService> services,
        int maxAttempts,
        boolean resumable,
        Set<Region> homeRegions,
        boolean isPublic) {
    /** Makes defensive copies of the collections and converts the host to lower case. */
    public Route {
        host = host.toLowerCase(Locale.ROOT);
        services = List.copyOf(services);
        homeRegions = Set.copyOf(homeRegions);
    }

    /**
     * Returns whether a request may be executed more than once.
     *
     * @return true if requests are idempotent or their streams may be resumed
     */
    public boolean isRetryable() {
        return kind == RequestKind.IDEMPOTENT || (kind == RequestKind.STREAMING && resumable);
    }

    /**
     * Returns whether a region may serve the requests.
     *
     * @param region the region
     * @return true if the region is a home region or the route has none
     */
    public boolean allows(Region region) {
        return homeRegions.isEmpty() || homeRegions.contains(region);
    }

    /**
     * Returns the rule for the requests of a workspace: its priority and homes restrict those of this route.
     *
     * @param workspace the workspace
     * @return the rule, empty if the homes of the route and the workspace have no region in common
     */
    public Optional<Route> forWorkspace(WorkspaceSpec workspace) {
        Set<Region> homes = new HashSet<>(homeRegions.isEmpty() ? workspace.homeRegions() : homeRegions);
        boolean bothBound = !homeRegions.isEmpty() && !workspace.homeRegions().isEmpty();
        if (bothBound) {
            homes.retainAll(workspace.homeRegions());
        }
        if (bothBound && homes.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(new Route(
                name,
                host,
                pathPrefix,
                kind,
                timeoutMs,
                targetLatencyMs,
                workspace.priority().orElse(priority),
                services,
                maxAttempts,
                resumable,
                homes,
                isPublic));
    }

    /**
     * Selects the service of a request by weight. The same request id selects the same service on all instances.
     *
     * @param requestId id of the request
     * @return name of the service
     */
    public String serviceFor(String requestId) {
        if (services.size() == 1) {
            return services.getFirst().service();
        }
        double totalWeight =
                services.stream().mapToDouble(WeightedService::weight).sum();
        double remaining = HashMixer.toUnitInterval(requestId.hashCode()) * totalWeight;
        for (WeightedService candidate : services) {
            remaining -= candidate.weight();
            if (remaining < 0) {
                return candidate.service();
            }
        }
        return services.getLast().service();
    }
}
