package org.ibissaddle.cli.load;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.ibissaddle.cli.status.InstanceStatus;

/**
 * How many answers came from another region than that of the instance that was asked.
 *
 * @param away answers from another region
 * @param known answers whose region is known
 */
record SentAway(long away, long known) {
    /** Counts routes by the regions that the instances report. */
    static SentAway of(Map<String, Long> routes, List<InstanceStatus> fleet) {
        Map<String, String> regions = regions(fleet);
        long away = 0;
        long known = 0;
        for (Map.Entry<String, Long> route : routes.entrySet()) {
            String[] parts = route.getKey().split("\n", -1);
            Optional<String> from = Optional.ofNullable(regions.get(parts[0]));
            Optional<String> at =
                    Optional.ofNullable(regions.get(parts[2])).or(() -> Optional.ofNullable(regions.get(parts[1])));
            if (from.isEmpty() || at.isEmpty()) {
                continue;
            }
            known += route.getValue();
            away += from.equals(at) ? 0 : route.getValue();
        }
        return new SentAway(away, known);
    }

    private static Map<String, String> regions(List<InstanceStatus> fleet) {
        Map<String, String> regions = new HashMap<>();
        for (InstanceStatus status : fleet) {
            status.answer().ifPresent(answer -> addRegions(answer, regions));
        }
        return regions;
    }

    private static void addRegions(JsonNode answer, Map<String, String> regions) {
        String region = answer.path("region").asText();
        regions.put(answer.path("instance").asText(), region);
        answer.path("servers").forEach(server -> regions.put(server.path("name").asText(), region));
        answer.path("peers")
                .forEach(peer -> regions.put(
                        peer.path("name").asText(), peer.path("region").asText()));
    }

    double share() {
        return known == 0 ? 0 : (double) away / known;
    }
}
