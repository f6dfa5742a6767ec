package org.ibissaddle.standins;

import java.util.Optional;

/**
 * An entry of the instance list of the platform.
 *
 * @param name the name of the instance or backend server
 * @param kind {@code instance} or {@code server}
 * @param pool the pool, if the entry is a backend server
 * @param region the region
 * @param zone the availability zone
 * @param address the address for callers, as {@code ip:port}
 * @param control the address of the control port, as {@code ip:port}
 * @param state {@code live} or {@code leaving}
 */
public record InstanceEntry(
        String name,
        String kind,
        Optional<String> pool,
        String region,
        String zone,
        String address,
        Optional<String> control,
        String state) {
    /** The kind of a gateway instance. */
    public static final String INSTANCE = "instance";
    /** The kind of a backend server. */
    public static final String SERVER = "server";
    /** The state of an entry that accepts requests. */
    public static final String LIVE = "live";
    /** The state of an entry that is shutting down. */
    public static final String LEAVING = "leaving";

    /** Returns a copy with another state. */
    public InstanceEntry withState(String other) {
        return new InstanceEntry(name, kind, pool, region, zone, address, control, other);
    }

    /** Returns whether this is a gateway instance that accepts requests. */
    public boolean isLiveInstance() {
        return INSTANCE.equals(kind) && LIVE.equals(state);
    }
}
