package org.ibissaddle.peer;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;
import org.ibissaddle.id.Address;
import org.ibissaddle.id.Region;
import org.ibissaddle.id.Zone;
import org.ibissaddle.route.Route;

/** Selects the instances that a caller may connect to. */
public final class EntryPointSelector {
    private EntryPointSelector() {}

    /**
     * Returns the home regions with the highest number of requests, summed over the routes of a host. Routes without
     * home regions don't count.
     *
     * @param routes the routes of the host
     * @param requestCount returns the number of requests of a route
     * @return the regions, empty when no route has home regions
     */
    public static Set<Region> homes(Collection<Route> routes, ToLongFunction<Route> requestCount) {
        Map<Region, Long> requests = new HashMap<>();
        for (Route route : routes) {
            route.homeRegions().forEach(region -> requests.merge(region, requestCount.applyAsLong(route), Long::sum));
        }
        long maxRequests =
                requests.values().stream().mapToLong(Long::longValue).max().orElse(0);
        requests.values().removeIf(count -> count < maxRequests);
        return requests.keySet();
    }

    /**
     * Selects the instances of the first non-empty group: ready instances in the caller's region or availability zone;
     * ready instances in a home region; draining instances in the caller's region or availability zone; draining
     * instances in a home region; ready instances anywhere. Within a group, instances that are behind come last.
     *
     * @param instances the running instances, including the local one
     * @param region the caller's region
     * @param zone the caller's availability zone
     * @param homes home regions with the most requests of the host; empty when requests may be served in any region
     * @param limit maximum number of addresses
     * @return caller addresses of the selected instances, empty when all groups are empty
     */
    public static List<Address> choose(
            Collection<PeerState> instances, Region region, Zone zone, Set<Region> homes, int limit) {
        Predicate<PeerState> local =
                state -> state.region().equals(region) || state.zone().equals(zone);
        Predicate<PeerState> inHomeRegion = state -> homes.contains(state.region());
        List<Predicate<PeerState>> preferences = List.of(
                local.and(PeerState::ready),
                inHomeRegion.and(PeerState::ready),
                local.and(PeerState::draining),
                inHomeRegion.and(PeerState::draining),
                PeerState::ready);
        for (Predicate<PeerState> preference : preferences) {
            List<Address> addresses = instances.stream()
                    .filter(preference)
                    .sorted(Comparator.comparing(PeerState::behind))
                    .map(PeerState::callerAddress)
                    .limit(limit)
                    .toList();
            if (!addresses.isEmpty()) {
                return addresses;
            }
        }
        return List.of();
    }
}
