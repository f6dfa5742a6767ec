/**
 * Immutable snapshots of the instances and backend servers of the fleet, as seen by one instance.
 *
 * <p>Start with {@link org.ibissaddle.fleet.FleetView}.
 */
package org.ibissaddle.fleet;
