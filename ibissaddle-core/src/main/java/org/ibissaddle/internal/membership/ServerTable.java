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
import org.ibissaddle.membership.Gossip.PoolLoadUpdate;
import org.ibissaddle.membership.ListEntry;
import org.ibissaddle.membership.LocalInstance;

/** State of the backend servers in the local region. */
final class ServerTable {
    private static final long UNLISTED_RETENTION_MS = 60_000;
    private static final long LOAD_FRESHNESS_MS = 12_000;
    private static final long MIN_SUMMARY_ADVANCE_MS = 1_000;
    private static final int MAX_SERVERS_FOR_REGION_LOADS = 64;
    private static final int SMALL_REGION_SERVERS = 16;
    private static final long POLL_INTERVAL_MS = 2_000;
    private static final long SMALL_REGION_POLL_INTERVAL_MS = 800;

    private final LocalInstance self;
    private final Map<ServerId, Server> servers = new TreeMap<>();
    private final Map<String, Summary> summaries = new HashMap<>();

    ServerTable(LocalInstance self) {
        this.self = self;
    }

    /** Mean load of a pool in a zone, received from another instance. */
    record Summary(PoolLoadUpdate update, long atMs) {}

    Collection<Server> all() {
        return Collections.unmodifiableCollection(servers.values());
    }

    Optional<Server> server(ServerId id) {
        return Optional.ofNullable(servers.get(id));
    }

    /** Returns whether loads of individual servers are gossiped to the whole region instead of their zone only. */
    boolean sharesLoadsInRegion() {
        return servers.size() <= MAX_SERVERS_FOR_REGION_LOADS;
    }

    /** Returns the interval between load polls of a server, in milliseconds. Loads are gossiped at half that rate. */
    long pollIntervalMs() {
        return servers.size() <= SMALL_REGION_SERVERS ? SMALL_REGION_POLL_INTERVAL_MS : POLL_INTERVAL_MS;
    }

    void applyList(List<ListEntry> entries, long nowMs) {
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
            known.unlisted = false;
        }
        Set<PoolId> protectedPools = poolsMostlyMissing(seen);
        for (Server server : servers.values()) {
            boolean missing = !seen.contains(server.id) && !server.unlisted;
            if (missing && !protectedPools.contains(server.entry.pool().orElseThrow())) {
                server.unlisted = true;
                server.unlistedAtMs = nowMs;
            }
        }
        servers.values().removeIf(server -> server.unlisted && nowMs - server.unlistedAtMs > UNLISTED_RETENTION_MS);
    }

    /**
     * Returns the pools of which more than half of the servers are missing from a new list. Such a list is more likely
     * faulty than correct, so the missing servers are kept.
     */
    private Set<PoolId> poolsMostlyMissing(Set<ServerId> seen) {
        Map<PoolId, Integer> total = new HashMap<>();
        Map<PoolId, Integer> missing = new HashMap<>();
        for (Server server : servers.values()) {
            if (server.unlisted) {
                continue;
            }
            PoolId pool = server.entry.pool().orElseThrow();
            total.merge(pool, 1, Integer::sum);
            missing.merge(pool, seen.contains(server.id) ? 0 : 1, Integer::sum);
        }
        Set<PoolId> mostlyMissing = new HashSet<>();
        missing.forEach((pool, count) -> {
            if (count * 2 > total.get(pool)) {
                mostlyMissing.add(pool);
            }
        });
        return mostlyMissing;
    }

    /**
     * Stores a summary if it is newer than the known one.
     *
     * @return whether it was stored
     */
    boolean updateSummary(PoolLoadUpdate update, long atMs) {
        String key = update.zone() + " " + update.pool();
        Summary known = summaries.get(key);
        if (known != null && atMs <= known.atMs() + MIN_SUMMARY_ADVANCE_MS) {
            return false;
        }
        summaries.put(key, new Summary(update, atMs));
        return true;
    }

    /** Returns the last reported load of a server while it is fresh, otherwise a newer mean of its zone and pool. */
    ServerLoad effectiveLoad(Server server, long nowMs) {
        Summary summary =
                summaries.get(server.entry.zone() + " " + server.entry.pool().orElseThrow());
        boolean fresh = nowMs - server.load.reportedAtMs() < LOAD_FRESHNESS_MS;
        if (fresh || summary == null || summary.atMs() <= server.load.reportedAtMs()) {
            return server.load;
        }
        PoolLoadUpdate mean = summary.update();
        return new ServerLoad(
                summary.atMs(),
                mean.running(),
                mean.queued(),
                mean.queuedTokens(),
                mean.decodeTokens(),
                mean.capacity(),
                mean.hitPercent() / 100.0);
    }

    /** Returns the mean load of each pool of a zone, computed from the servers with fresh reports. */
    List<PoolLoadUpdate> meanLoads(Zone zone, long nowMs) {
        Map<PoolId, List<ServerLoad>> loads = new TreeMap<>();
        for (Server server : servers.values()) {
            boolean fresh = nowMs - server.load.reportedAtMs() < LOAD_FRESHNESS_MS;
            if (fresh && server.entry.zone().equals(zone) && !server.isLeaving()) {
                loads.computeIfAbsent(server.entry.pool().orElseThrow(), pool -> new ArrayList<>())
                        .add(server.load);
            }
        }
        List<PoolLoadUpdate> means = new ArrayList<>();
        loads.forEach((pool, all) -> means.add(meanLoad(zone, pool, all)));
        return means;
    }

    private static PoolLoadUpdate meanLoad(Zone zone, PoolId pool, List<ServerLoad> loads) {
        return new PoolLoadUpdate(
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
