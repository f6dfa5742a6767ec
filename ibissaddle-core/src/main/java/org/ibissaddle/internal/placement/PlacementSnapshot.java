package org.ibissaddle.internal.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;
import org.ibissaddle.fleet.FleetView;
import org.ibissaddle.fleet.Health;
import org.ibissaddle.fleet.InstanceView;
import org.ibissaddle.fleet.ServerView;
import org.ibissaddle.id.ModelId;
import org.ibissaddle.id.PoolId;
import org.ibissaddle.id.Region;

/** A fleet view with data precomputed for placement decisions; replaced as a whole when the view changes. */
final class PlacementSnapshot {
    private static final Candidates NO_CANDIDATES = new Candidates(List.of());

    final FleetView fleet;
    final Map<Region, List<InstanceView>> livePeers;
    /** Number of instances of the local region, including the local one and those that are down. */
    final int instancesInRegion;

    private final Map<PoolId, List<Candidate>> serversByPool = new HashMap<>();
    private final Map<PoolId, Candidates> candidatesByPool = new HashMap<>();
    private final Map<PoolId, Double> hitRates = new HashMap<>();
    private final ConcurrentHashMap<PoolModel, Candidates> candidatesByModel = new ConcurrentHashMap<>();

    private record PoolModel(PoolId pool, ModelId model) {}

    PlacementSnapshot(FleetView fleet, Function<ServerView, ServerState> states, long nowMs) {
        this.fleet = fleet;
        livePeers = livePeersByRegion(fleet);
        instancesInRegion = 1
                + (int) fleet.peers().stream()
                        .filter(peer -> peer.region().equals(fleet.self().region()))
                        .count();
        Map<PoolId, List<ServerView>> views = new HashMap<>();
        for (ServerView server : fleet.servers()) {
            if (server.region().equals(fleet.self().region())) {
                views.computeIfAbsent(server.pool(), p -> new ArrayList<>()).add(server);
            }
        }
        views.forEach((pool, servers) -> prepare(pool, servers, states, nowMs));
    }

    /** Compares by reference, because comparing the contents of views would cost more than a decision. */
    @SuppressWarnings("ReferenceEquality")
    boolean isSnapshotOf(FleetView view) {
        return fleet == view;
    }

    /** Returns the servers of a pool that have a model version loaded, or all servers when no model is given. */
    Candidates candidates(PoolId pool, Optional<ModelId> model) {
        if (model.isEmpty()) {
            return candidatesByPool.getOrDefault(pool, NO_CANDIDATES);
        }
        PoolModel key = new PoolModel(pool, model.get());
        Candidates cached = candidatesByModel.get(key);
        if (cached != null) {
            return cached;
        }
        List<Candidate> holding = serversByPool.getOrDefault(pool, List.of()).stream()
                .filter(c -> c.view.models().contains(model.get()))
                .toList();
        Candidates created = new Candidates(holding);
        candidatesByModel.putIfAbsent(key, created);
        return created;
    }

    /** Returns the servers of a pool, regardless of loaded models. */
    Candidates candidates(PoolId pool) {
        return candidatesByPool.getOrDefault(pool, NO_CANDIDATES);
    }

    /** Returns the mean cache hit rate of a pool's servers that are not in slow start. */
    double hitRate(PoolId pool) {
        return hitRates.getOrDefault(pool, 0.0);
    }

    private void prepare(PoolId pool, List<ServerView> servers, Function<ServerView, ServerState> states, long nowMs) {
        double sum = 0;
        int warmServers = 0;
        for (ServerView server : servers) {
            ServerState state = states.apply(server);
            state.update(server);
            if (server.health() == Health.LIVE && !state.inSlowStart()) {
                sum += server.load().hitRate();
                warmServers++;
            }
        }
        double warmHitRate = warmServers == 0 ? 0 : sum / warmServers;
        List<Candidate> list = new ArrayList<>();
        for (ServerView server : servers) {
            if (server.health().acceptsNewWork()) {
                ServerState state = states.apply(server);
                double slowStartFactor = state.slowStartFactor(server.load().hitRate(), warmHitRate);
                list.add(new Candidate(server, state, slowStartFactor, nowMs));
            }
        }
        hitRates.put(pool, warmHitRate);
        serversByPool.put(pool, list);
        candidatesByPool.put(pool, new Candidates(list));
    }

    private static Map<Region, List<InstanceView>> livePeersByRegion(FleetView fleet) {
        Map<Region, List<InstanceView>> all = new HashMap<>();
        for (InstanceView peer : fleet.peers()) {
            if (!peer.region().equals(fleet.self().region()) && peer.health() == Health.LIVE) {
                all.computeIfAbsent(peer.region(), r -> new ArrayList<>()).add(peer);
            }
        }
        return all;
    }
}
