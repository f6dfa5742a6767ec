package org.ibissaddle.placement;

import org.ibissaddle.fleet.InstanceView;
import org.ibissaddle.fleet.ServerView;
import org.ibissaddle.outcome.Refusal;

/** A decision where a request is served. */
public sealed interface Placement {
    /**
     * Serve on a backend server of the own region.
     *
     * @param server the server
     */
    record Serve(ServerView server) implements Placement {}

    /**
     * Forward to an instance of another region, which serves or refuses.
     *
     * @param peer the instance
     */
    record Forward(InstanceView peer) implements Placement {}

    /**
     * Refuse before anything was sent.
     *
     * @param refusal what the caller is told
     */
    record Refuse(Refusal refusal) implements Placement {}
}
