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

/** A fleet view with all that can be worked out ahead of single decisions; replaced as a whole with the view. */
final class Snapshot {
    private static final Candidates NONE = new Candidates(List.of());

    final FleetView fleet;
    final Map<Region, List<InstanceView>> remote;
    private final Map<PoolId, List<Candidate>> pools = new HashMap<>();
    private final Map<PoolId, Candidates> whole = new HashMap<>();
    private final Map<PoolId, Double> hitRates = new HashMap<>();
    private final ConcurrentHashMap<Kind, Candidates> kinds = new ConcurrentHashMap<>();

    private record Kind(PoolId pool, ModelId model) {}

    Snapshot(FleetView fleet, Function<ServerView, ServerState> states, long nowMs) {
        this.fleet = fleet;
        remote = remote(fleet);
        Map<PoolId, List<ServerView>> views = new HashMap<>();
        for (ServerView server : fleet.servers()) {
            if (server.region().equals(fleet.self().region())) {
                views.computeIfAbsent(server.pool(), p -> new ArrayList<>()).add(server);
            }
        }
        views.forEach((pool, servers) -> prepare(pool, servers, states, nowMs));
    }

    /** Whether it was made from this very view: comparing the contents would cost more than a decision. */
    @SuppressWarnings("ReferenceEquality")
    boolean isOf(FleetView view) {
        return fleet == view;
    }

    /** Servers of a pool that hold a model version. */
    Candidates candidates(PoolId pool, Optional<ModelId> model) {
        if (model.isEmpty()) {
            return whole.getOrDefault(pool, NONE);
        }
        Kind kind = new Kind(pool, model.get());
        Candidates known = kinds.get(kind);
        if (known != null) {
            return known;
        }
        List<Candidate> holding = pools.getOrDefault(pool, List.of()).stream()
                .filter(c -> c.view.models().contains(model.get()))
                .toList();
        Candidates made = new Candidates(holding);
        kinds.putIfAbsent(kind, made);
        return made;
    }

    /** Servers of a pool, whatever they hold. */
    Candidates candidates(PoolId pool) {
        return whole.getOrDefault(pool, NONE);
    }

    /** Mean hit rate of a pool's warm servers. */
    double hitRate(PoolId pool) {
        return hitRates.getOrDefault(pool, 0.0);
    }

    private void prepare(PoolId pool, List<ServerView> servers, Function<ServerView, ServerState> states, long nowMs) {
        double sum = 0;
        int warm = 0;
        for (ServerView server : servers) {
            ServerState state = states.apply(server);
            state.seen(server);
            if (server.health() == Health.LIVE && !state.ramping()) {
                sum += server.load().hitRate();
                warm++;
            }
        }
        double usual = warm == 0 ? 0 : sum / warm;
        List<Candidate> list = new ArrayList<>();
        for (ServerView server : servers) {
            if (server.health().takesNewWork()) {
                ServerState state = states.apply(server);
                double ramp = state.ramp(server.load().hitRate(), usual);
                list.add(new Candidate(server, state, ramp, nowMs));
            }
        }
        hitRates.put(pool, usual);
        pools.put(pool, list);
        whole.put(pool, new Candidates(list));
    }

    private static Map<Region, List<InstanceView>> remote(FleetView fleet) {
        Map<Region, List<InstanceView>> all = new HashMap<>();
        for (InstanceView peer : fleet.peers()) {
            if (!peer.region().equals(fleet.self().region()) && peer.health() == Health.LIVE) {
                all.computeIfAbsent(peer.region(), r -> new ArrayList<>()).add(peer);
            }
        }
        return all;
    }
}
