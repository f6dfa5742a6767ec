package org.ibissaddle.membership;

import java.util.Optional;
import org.ibissaddle.id.Region;
import org.ibissaddle.id.WorkspaceId;

/**
 * Demand of a workspace at the own instance, to be told to peers.
 *
 * @param workspace the workspace
 * @param home region that it is bound to, outside which it is not told; empty when unbound
 * @param perSecond requests per second
 */
public record OwnDemand(WorkspaceId workspace, Optional<Region> home, double perSecond) {}
