package org.ibissaddle.daemon.stream;

import org.ibissaddle.fleet.InstanceView;
import org.ibissaddle.fleet.ServerView;
import org.ibissaddle.id.Address;
import org.ibissaddle.id.ServerId;
import org.ibissaddle.placement.Placement;

/**
 * The engine or instance to which an attempt is sent.
 *
 * @param id ID of the engine or instance
 * @param address address of the engine or instance
 * @param peer whether the target is an instance of another region, whose events carry stream tokens as IDs
 * @param placement placement decision that selected the target
 */
record Target(ServerId id, Address address, boolean peer, Placement placement) {
    static Target of(ServerView server, Placement placement) {
        return new Target(server.id(), server.address(), false, placement);
    }

    static Target of(InstanceView peer, Placement placement) {
        return new Target(new ServerId(peer.id().name()), peer.callerAddress(), true, placement);
    }
}
