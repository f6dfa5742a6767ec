/**
 * What an instance believes of the fleet at one moment: immutable snapshots of instances and backend servers.
 *
 * <p>Start with {@link org.ibissaddle.fleet.FleetView}.
 */
package org.ibissaddle.fleet;
