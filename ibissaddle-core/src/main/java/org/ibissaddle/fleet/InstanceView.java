package org.ibissaddle.fleet;

import java.util.Optional;
import org.ibissaddle.id.Address;
import org.ibissaddle.id.Incarnation;
import org.ibissaddle.id.InstanceId;
import org.ibissaddle.id.Region;
import org.ibissaddle.id.Zone;

/**
 * An entry instance as another one sees it.
 *
 * @param id name of the instance
 * @param incarnation its incarnation, empty when never heard from
 * @param region its region
 * @param zone its availability zone
 * @param callerAddress where callers reach it
 * @param controlAddress where peers and operators reach it
 * @param health what is believed of it
 * @param load its own estimate of its region's queue, as predicted wait over target, 1 is full
 * @param spare capacity that it offers to other regions, tokens per second
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
