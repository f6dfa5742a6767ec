package org.ibissaddle.membership;

import org.ibissaddle.id.Region;

/**
 * Asks a peer for the platform's list and, when the asker has missed news, for its beliefs.
 *
 * @param revision revision of the asker's list, 0 for none
 * @param region region of the asker
 * @param beliefs whether the peer's beliefs are wanted
 */
public record ListRequest(long revision, Region region, boolean beliefs) {}
