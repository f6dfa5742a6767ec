package org.ibissaddle.cli.load;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.ibissaddle.cli.status.InstanceStatus;

/**
 * Counts of responses that were served in a region other than that of the instance that received the request.
 *
 * @param crossRegion responses served in another region
 * @param total responses whose regions are known
 */
record CrossRegionStats(long crossRegion, long total) {
    /** Classifies routes by the regions that the instances report; routes with an unknown region are skipped. */
    static CrossRegionStats of(Map<String, Long> routes, List<InstanceStatus> fleet) {
        Map<String, String> regions = regions(fleet);
        long crossRegion = 0;
        long total = 0;
        for (Map.Entry<String, Long> route : routes.entrySet()) {
            String[] parts = route.getKey().split("\n", -1);
            Optional<String> receivingRegion = Optional.ofNullable(regions.get(parts[0]));
            Optional<String> servingRegion =
                    Optional.ofNullable(regions.get(parts[2])).or(() -> Optional.ofNullable(regions.get(parts[1])));
            if (receivingRegion.isEmpty() || servingRegion.isEmpty()) {
                continue;
            }
            total += route.getValue();
            crossRegion += receivingRegion.equals(servingRegion) ? 0 : route.getValue();
        }
        return new CrossRegionStats(crossRegion, total);
    }

    private static Map<String, String> regions(List<InstanceStatus> fleet) {
        Map<String, String> regions = new HashMap<>();
        for (InstanceStatus status : fleet) {
            status.response().ifPresent(response -> collectRegions(response, regions));
        }
        return regions;
    }

    private static void collectRegions(JsonNode response, Map<String, String> regions) {
        String region = response.path("region").asText();
        regions.put(response.path("instance").asText(), region);
        response.path("servers")
                .forEach(server -> regions.put(server.path("name").asText(), region));
        response.path("peers")
                .forEach(peer -> regions.put(
                        peer.path("name").asText(), peer.path("region").asText()));
    }

    double share() {
        return total == 0 ? 0 : (double) crossRegion / total;
    }
}
