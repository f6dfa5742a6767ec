package org.ibissaddle.membership;

import org.ibissaddle.id.Address;
import org.ibissaddle.id.Incarnation;
import org.ibissaddle.id.InstanceId;
import org.ibissaddle.id.Region;
import org.ibissaddle.id.Zone;

/**
 * Identity and addresses of the local instance, from its settings.
 *
 * @param id its name
 * @param incarnation its incarnation
 * @param region its region
 * @param zone its availability zone
 * @param caller address for callers
 * @param control control address for peers
 */
public record LocalInstance(
        InstanceId id, Incarnation incarnation, Region region, Zone zone, Address caller, Address control) {}
