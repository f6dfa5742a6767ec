package org.ibissaddle.placement;

import org.ibissaddle.fleet.InstanceView;
import org.ibissaddle.fleet.ServerView;
import org.ibissaddle.outcome.Refusal;

/** A placement decision for a request. */
public sealed interface Placement {
    /**
     * Serve the request on a backend server of the local region.
     *
     * @param server the selected server
     */
    record Serve(ServerView server) implements Placement {}

    /**
     * Forward the request to an instance of another region, which serves or refuses it.
     *
     * @param peer the selected instance
     */
    record Forward(InstanceView peer) implements Placement {}

    /**
     * Refuse the request before anything was sent to a server or peer.
     *
     * @param refusal refusal to return to the caller
     */
    record Refuse(Refusal refusal) implements Placement {}
}
