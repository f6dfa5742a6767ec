package org.ibissaddle.order;

import org.ibissaddle.fleet.FleetView;
import org.ibissaddle.membership.FleetList;
import org.ibissaddle.note.ReleaseNote;

/**
 * Inputs of the order planner.
 *
 * @param note the release note in force
 * @param noteSinceMs when the note came into force on this instance, epoch milliseconds
 * @param noteFresh whether a source confirmed the note as the newest within the last few seconds
 * @param list the platform's fleet list
 * @param fleet this instance's view of the loads and resident models of the servers in its region
 */
public record OrderInputs(ReleaseNote note, long noteSinceMs, boolean noteFresh, FleetList list, FleetView fleet) {}
