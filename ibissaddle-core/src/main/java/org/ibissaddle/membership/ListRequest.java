package org.ibissaddle.membership;

import org.ibissaddle.id.Region;

/**
 * Requests the fleet list from a peer and, when the requester may have missed updates, the peer's membership view.
 *
 * @param revision revision of the requester's list, 0 for none
 * @param region region of the requester
 * @param beliefs whether to return the peer's membership view
 */
public record ListRequest(long revision, Region region, boolean beliefs) {}
