package org.ibissaddle.membership;

import java.util.List;

/**
 * Beliefs of one instance, for another that starts, wakes or may have missed news.
 *
 * @param members instances that differ from the platform's list
 * @param servers backend servers of the region
 * @param names models and adapters that the servers refer to by position
 */
public record Snapshot(List<Gossip.MemberNews> members, List<Gossip.ServerNews> servers, List<String> names) {
    /** Copies the lists; absent ones are empty. */
    public Snapshot {
        members = members == null ? List.of() : List.copyOf(members);
        servers = servers == null ? List.of() : List.copyOf(servers);
        names = names == null ? List.of() : List.copyOf(names);
    }
}
