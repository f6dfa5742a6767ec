/**
 * Placement of requests: on a backend server of the local region, on a peer in another region, or refusal.
 *
 * <p>The main interface is {@link org.ibissaddle.placement.PlacementPolicy}.
 */
package org.ibissaddle.placement;
