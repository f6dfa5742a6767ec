package org.ibissaddle.membership;

import java.util.Optional;
import org.ibissaddle.id.Address;
import org.ibissaddle.id.PoolId;
import org.ibissaddle.id.Region;
import org.ibissaddle.id.Zone;

/**
 * An entry of the platform's list.
 *
 * @param name name of the instance or backend server
 * @param kind what it is
 * @param pool pool of a backend server
 * @param region its region
 * @param zone its availability zone
 * @param address caller address of an instance, address of a server
 * @param control control address of an instance
 * @param leaving whether the list says that it leaves
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
    /** Kinds of entries. */
    public enum Kind {
        /** An entry instance. */
        INSTANCE,
        /** A backend server. */
        SERVER
    }
}
