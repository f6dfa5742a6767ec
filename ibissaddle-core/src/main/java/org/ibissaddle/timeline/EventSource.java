package org.ibissaddle.timeline;

import org.ibissaddle.id.Incarnation;
import org.ibissaddle.id.InstanceId;
import org.ibissaddle.id.Region;
import org.ibissaddle.id.Zone;

/**
 * The process that recorded an event.
 *
 * @param instance name of the instance
 * @param incarnation its incarnation
 * @param region its region
 * @param zone its availability zone
 */
public record EventSource(InstanceId instance, Incarnation incarnation, Region region, Zone zone) {}
