package org.ibissaddle.fleet;

import java.util.Optional;
import org.ibissaddle.id.Address;
import org.ibissaddle.id.Incarnation;
import org.ibissaddle.id.InstanceId;
import org.ibissaddle.id.Region;
import org.ibissaddle.id.Zone;

/**
 * State of a gateway instance as seen by one instance.
 *
 * @param id name of the instance
 * @param incarnation its incarnation, empty if not yet known
 * @param region its region
 * @param zone its availability zone
 * @param callerAddress address for client requests
 * @param controlAddress address for peers and operators
 * @param health its health as observed
 * @param load load of its region, estimated by an instance there as predicted wait divided by target wait; 1 means full
 * @param spare capacity its region offers to other regions, in tokens per second
 */
public record InstanceView(
        InstanceId id,
        Optional<Incarnation> incarnation,
        Region region,
        Zone zone,
        Address callerAddress,
        Address controlAddress,
        Health health,
        double load,
        double spare) {}
