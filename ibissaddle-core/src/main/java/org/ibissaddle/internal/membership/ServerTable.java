package org.ibissaddle.internal.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.ibissaddle.fleet.ServerLoad;
import org.ibissaddle.id.PoolId;
import org.ibissaddle.id.ServerId;
import org.ibissaddle.id.Zone;
import org.ibissaddle.membership.Gossip.PoolNews;
import org.ibissaddle.membership.ListEntry;
import org.ibissaddle.membership.Self;

/** The backend servers of the own region. */
final class ServerTable {
    private static final long FORGET_MS = 60_000;
    private static final long LOAD_FRESH_MS = 12_000;
    private static final long SAME_MS = 1_000;
    private static final int FINE_SERVERS = 64;
    private static final int FEW_SERVERS = 16;
    private static final long POLL_MS = 2_000;
    private static final long FEW_POLL_MS = 500;

    private final Self self;
    private final Map<ServerId, Server> servers = new TreeMap<>();
    private final Map<String, Summary> summaries = new HashMap<>();

    ServerTable(Self self) {
        this.self = self;
    }

    /** Load of a pool in a zone, from another instance. */
    record Summary(PoolNews news, long atMs) {}

    Collection<Server> all() {
        return Collections.unmodifiableCollection(servers.values());
    }

    Optional<Server> server(ServerId id) {
        return Optional.ofNullable(servers.get(id));
    }

    /** Tells whether loads of single servers are told to the whole region, not only within their zone. */
    boolean fine() {
        return servers.size() <= FINE_SERVERS;
    }

    /** How often each server is asked for its load, milliseconds. Half as often its load is told to others. */
    long pollMs() {
        return servers.size() <= FEW_SERVERS ? FEW_POLL_MS : POLL_MS;
    }

    void list(List<ListEntry> entries, long nowMs) {
        Set<ServerId> seen = new HashSet<>();
        for (ListEntry entry : entries) {
            boolean server =
                    entry.kind() == ListEntry.Kind.SERVER && entry.pool().isPresent();
            if (!server || !entry.region().equals(self.region())) {
                continue;
            }
            ServerId id = new ServerId(entry.name());
            seen.add(id);
            Server known = servers.computeIfAbsent(id, name -> new Server(name, entry));
            known.leaving |= known.entry.leaving() && known.incarnation != null;
            known.entry = entry;
            known.dropped = false;
        }
        Set<PoolId> doubtful = poolsMostlyMissing(seen);
        for (Server server : servers.values()) {
            boolean missing = !seen.contains(server.id) && !server.dropped;
            if (missing && !doubtful.contains(server.entry.pool().orElseThrow())) {
                server.dropped = true;
                server.droppedAtMs = nowMs;
            }
        }
        servers.values().removeIf(server -> server.dropped && nowMs - server.droppedAtMs > FORGET_MS);
    }

    /** Finds pools of which a list suddenly lacks more than half: more likely a fault of the list than the truth. */
    private Set<PoolId> poolsMostlyMissing(Set<ServerId> seen) {
        Map<PoolId, Integer> total = new HashMap<>();
        Map<PoolId, Integer> missing = new HashMap<>();
        for (Server server : servers.values()) {
            if (server.dropped) {
                continue;
            }
            PoolId pool = server.entry.pool().orElseThrow();
            total.merge(pool, 1, Integer::sum);
            missing.merge(pool, seen.contains(server.id) ? 0 : 1, Integer::sum);
        }
        Set<PoolId> doubtful = new HashSet<>();
        missing.forEach((pool, count) -> {
            if (count * 2 > total.get(pool)) {
                doubtful.add(pool);
            }
        });
        return doubtful;
    }

    /** Takes a summary over if it is newer; tells whether it was. */
    boolean summary(PoolNews news, long atMs) {
        String key = news.zone() + " " + news.pool();
        Summary known = summaries.get(key);
        if (known != null && atMs <= known.atMs() + SAME_MS) {
            return false;
        }
        summaries.put(key, new Summary(news, atMs));
        return true;
    }

    /** Returns the load to show for a server: its own while it is fresh, else the mean of its zone and pool. */
    ServerLoad load(Server server, long nowMs) {
        Summary summary =
                summaries.get(server.entry.zone() + " " + server.entry.pool().orElseThrow());
        boolean fresh = nowMs - server.load.reportedAtMs() < LOAD_FRESH_MS;
        if (fresh || summary == null || summary.atMs() <= server.load.reportedAtMs()) {
            return server.load;
        }
        PoolNews mean = summary.news();
        return new ServerLoad(
                summary.atMs(),
                mean.running(),
                mean.queued(),
                mean.queuedTokens(),
                mean.decodeTokens(),
                mean.capacity(),
                mean.hitPercent() / 100.0);
    }

    /** Computes the mean loads of the pools of a zone from the servers that reported lately. */
    List<PoolNews> means(Zone zone, long nowMs) {
        Map<PoolId, List<ServerLoad>> loads = new TreeMap<>();
        for (Server server : servers.values()) {
            boolean fresh = nowMs - server.load.reportedAtMs() < LOAD_FRESH_MS;
            if (fresh && server.entry.zone().equals(zone) && !server.leaves()) {
                loads.computeIfAbsent(server.entry.pool().orElseThrow(), pool -> new ArrayList<>())
                        .add(server.load);
            }
        }
        List<PoolNews> means = new ArrayList<>();
        loads.forEach((pool, all) -> means.add(mean(zone, pool, all)));
        return means;
    }

    private static PoolNews mean(Zone zone, PoolId pool, List<ServerLoad> loads) {
        return new PoolNews(
                zone,
                pool,
                0,
                (int) Math.round(
                        loads.stream().mapToInt(ServerLoad::running).average().orElse(0)),
                (int) Math.round(
                        loads.stream().mapToInt(ServerLoad::queued).average().orElse(0)),
                Math.round(loads.stream()
                        .mapToLong(ServerLoad::queuedTokens)
                        .average()
                        .orElse(0)),
                Math.round(loads.stream()
                        .mapToLong(ServerLoad::decodeTokens)
                        .average()
                        .orElse(0)),
                Math.round(loads.stream()
                        .mapToDouble(ServerLoad::capacityTokensPerSecond)
                        .average()
                        .orElse(0)),
                (int) Math.round(100
                        * loads.stream()
                                .mapToDouble(ServerLoad::hitRate)
                                .average()
                                .orElse(0)));
    }
}
