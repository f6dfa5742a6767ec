package org.ibissaddle.daemon.state;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.ibissaddle.fleet.FleetView;
import org.ibissaddle.fleet.Health;
import org.ibissaddle.timeline.Event;

/** Computes the health changes between two fleet views. A member that disappears counts as down. */
final class HealthChanges {
    private HealthChanges() {}

    static List<Event> between(FleetView previous, FleetView current) {
        Map<String, Health> before = healthByName(previous);
        Map<String, Health> after = healthByName(current);
        List<Event> events = new ArrayList<>();
        after.forEach((member, health) -> {
            if (before.get(member) != health) {
                events.add(new Event.HealthChanged(member, health));
            }
        });
        before.forEach((member, health) -> {
            if (!after.containsKey(member) && health != Health.DOWN) {
                events.add(new Event.HealthChanged(member, Health.DOWN));
            }
        });
        return events;
    }

    private static Map<String, Health> healthByName(FleetView fleet) {
        Map<String, Health> byName = new HashMap<>();
        fleet.peers().forEach(peer -> byName.put(peer.id().name(), peer.health()));
        fleet.servers().forEach(server -> byName.put(server.id().name(), server.health()));
        return byName;
    }
}
