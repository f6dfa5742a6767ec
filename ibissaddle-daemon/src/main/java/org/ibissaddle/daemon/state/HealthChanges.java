package org.ibissaddle.daemon.state;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.ibissaddle.fleet.FleetView;
import org.ibissaddle.fleet.Health;
import org.ibissaddle.timeline.Event;

/** Compares two snapshots of beliefs. */
final class HealthChanges {
    private HealthChanges() {}

    static List<Event> between(FleetView last, FleetView next) {
        Map<String, Health> before = healths(last);
        Map<String, Health> after = healths(next);
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

    private static Map<String, Health> healths(FleetView fleet) {
        Map<String, Health> healths = new HashMap<>();
        fleet.peers().forEach(peer -> healths.put(peer.id().name(), peer.health()));
        fleet.servers().forEach(server -> healths.put(server.id().name(), server.health()));
        return healths;
    }
}
