/**
 * State that the instances of a deployment exchange: which instances are running and ready, and the load of each
 * region.
 *
 * <p>Start with {@link org.ibissaddle.peer.PeerTable}.
 */
package org.ibissaddle.peer;
