package org.ibissaddle.membership;

import java.util.Optional;
import org.ibissaddle.id.Address;
import org.ibissaddle.id.PoolId;
import org.ibissaddle.id.Region;
import org.ibissaddle.id.Zone;

/**
 * Instance or backend server in the platform's fleet list.
 *
 * @param name name of the instance or backend server
 * @param kind kind of the entry
 * @param pool pool of a backend server, empty for an instance
 * @param region its region
 * @param zone its availability zone
 * @param address address of an instance for callers, or address of a backend server
 * @param control control address of an instance, empty for a backend server
 * @param leaving whether the list marks it as draining
 */
public record ListEntry(
        String name,
        Kind kind,
        Optional<PoolId> pool,
        Region region,
        Zone zone,
        Address address,
        Optional<Address> control,
        boolean leaving) {
    /** Kind of an entry. */
    public enum Kind {
        /** An instance of the gateway. */
        INSTANCE,
        /** A backend server. */
        SERVER
    }
}
