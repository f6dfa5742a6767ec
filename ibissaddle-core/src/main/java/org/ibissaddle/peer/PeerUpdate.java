package org.ibissaddle.peer;

import java.util.List;

/**
 * What one message tells about instances other than its sender.
 *
 * @param states states that the recipient presumably lacks
 * @param heartbeats in a request those of all running instances that the sender knows, which tell the recipient what
 *     the sender lacks; in a response those that are newer than in the request
 * @param loads loads of other regions, within a region only
 */
public record PeerUpdate(List<RelayedState> states, List<Heartbeat> heartbeats, List<RelayedLoad> loads) {
    /** Makes defensive copies of the lists. */
    public PeerUpdate {
        states = List.copyOf(states);
        heartbeats = List.copyOf(heartbeats);
        loads = List.copyOf(loads);
    }
}
