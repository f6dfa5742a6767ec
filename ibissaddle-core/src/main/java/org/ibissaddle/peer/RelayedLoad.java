package org.ibissaddle.peer;

import java.util.Map;
import org.ibissaddle.id.InstanceId;

/**
 * Load of the backend servers in the region of an instance, relayed by another instance.
 *
 * @param id the instance that reported the load
 * @param services load by service
 * @param ageMs time since the instance reported it, milliseconds
 */
public record RelayedLoad(InstanceId id, Map<String, ServiceLoad> services, long ageMs) {
    /** Makes a defensive copy of the map. */
    public RelayedLoad {
        services = Map.copyOf(services);
    }
}
