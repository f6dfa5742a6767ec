package org.ibissaddle.membership;

import java.util.List;

/**
 * Membership view of one instance, sent to another that starts, resumes after a pause or may have missed updates.
 *
 * @param members the sender, and instances whose state differs from the platform's fleet list
 * @param servers backend servers of the receiver's region, when the sender is in it too; empty otherwise
 * @param names names of models and adapters; the servers refer to them by index
 */
public record MembershipSnapshot(
        List<Gossip.MemberUpdate> members, List<Gossip.ServerUpdate> servers, List<String> names) {
    /** Makes defensive copies; absent lists become empty. */
    public MembershipSnapshot {
        members = members == null ? List.of() : List.copyOf(members);
        servers = servers == null ? List.of() : List.copyOf(servers);
        names = names == null ? List.of() : List.copyOf(names);
    }
}
