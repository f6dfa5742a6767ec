/**
 * Decides where a request is served: on which backend server, through which peer, or not at all.
 *
 * <p>Start with {@link org.ibissaddle.placement.PlacementPolicy}.
 */
package org.ibissaddle.placement;
