package org.ibissaddle.backend;

import org.ibissaddle.id.ServerId;

/** Divides the request rate that a cold server tolerates among the instances that send to it. */
@FunctionalInterface
public interface ColdRateShare {
    /** Gives the whole rate to the local instance. */
    ColdRateShare WHOLE = server -> 1;

    /**
     * Returns the share of the local instance.
     *
     * @param server a cold server
     * @return fraction of the rate, 0 if the local instance must not send to the server while it is cold
     */
    double of(ServerId server);
}
