package org.ibissaddle.membership;

import java.util.Optional;
import org.ibissaddle.id.Region;
import org.ibissaddle.id.WorkspaceId;

/**
 * Demand of a workspace at the local instance, sent to peers.
 *
 * @param workspace the workspace
 * @param home region that the workspace is bound to; the demand is sent only to peers of this region. Empty when
 *     unbound
 * @param perSecond requests per second
 */
public record LocalDemand(WorkspaceId workspace, Optional<Region> home, double perSecond) {}
