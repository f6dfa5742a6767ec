package org.ibissaddle.daemon.stream;

import org.ibissaddle.fleet.InstanceView;
import org.ibissaddle.fleet.ServerView;
import org.ibissaddle.id.Address;
import org.ibissaddle.id.ServerId;
import org.ibissaddle.placement.Placement;

/**
 * Where an attempt is sent.
 *
 * @param id name of the engine or instance
 * @param address where it is reached
 * @param peer whether it is an instance of another region, whose events carry stream tokens
 * @param placement the decision that chose it
 */
record Target(ServerId id, Address address, boolean peer, Placement placement) {
    static Target of(ServerView server, Placement placement) {
        return new Target(server.id(), server.address(), false, placement);
    }

    static Target of(InstanceView peer, Placement placement) {
        return new Target(new ServerId(peer.id().name()), peer.callerAddress(), true, placement);
    }
}
