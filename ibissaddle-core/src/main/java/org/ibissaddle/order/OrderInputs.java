package org.ibissaddle.order;

import org.ibissaddle.fleet.FleetView;
import org.ibissaddle.membership.FleetList;
import org.ibissaddle.note.ReleaseNote;

/**
 * What a plan is made from.
 *
 * @param note the note in force
 * @param noteSinceMs when it came into force here, epoch milliseconds
 * @param noteFresh whether a source confirmed it as the newest within the last seconds
 * @param list the platform's list
 * @param fleet beliefs: loads and residency of the region's servers
 */
public record OrderInputs(ReleaseNote note, long noteSinceMs, boolean noteFresh, FleetList list, FleetView fleet) {}
