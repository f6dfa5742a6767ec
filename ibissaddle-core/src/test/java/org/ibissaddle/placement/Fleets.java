package org.ibissaddle.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.ibissaddle.fleet.FleetView;
import org.ibissaddle.fleet.Health;
import org.ibissaddle.fleet.InstanceView;
import org.ibissaddle.fleet.ServerLoad;
import org.ibissaddle.fleet.ServerView;
import org.ibissaddle.id.Address;
import org.ibissaddle.id.Incarnation;
import org.ibissaddle.id.InstanceId;
import org.ibissaddle.id.ModelId;
import org.ibissaddle.id.PoolId;
import org.ibissaddle.id.Region;
import org.ibissaddle.id.RequestId;
import org.ibissaddle.id.ServerId;
import org.ibissaddle.id.WorkspaceId;
import org.ibissaddle.id.Zone;
import org.ibissaddle.note.Link;
import org.ibissaddle.note.ObjectiveWeights;
import org.ibissaddle.note.Pool;
import org.ibissaddle.note.PoolKind;
import org.ibissaddle.note.ReleaseNote;
import org.ibissaddle.note.SpillRules;
import org.ibissaddle.note.Workspace;

/** Test fixtures: small fleets, release notes and requests. */
final class Fleets {
    static final Region A = new Region("a");
    static final Region B = new Region("b");
    static final PoolId POOL = new PoolId("inspection");
    static final ModelId MODEL = ModelId.parse("m@1");
    static final Workspace UNBOUND = new Workspace(new WorkspaceId("free"), Optional.empty(), 100, 1, 0);
    static final Workspace BOUND = new Workspace(new WorkspaceId("bound"), Optional.of(A), 100, 1, 0);
    static final long NOW = 1_000_000;

    private static final Address ADDRESS = new Address("127.0.0.1", 1);

    private Fleets() {}

    static ReleaseNote note(Workspace... workspaces) {
        return note(new ObjectiveWeights(0.1, 0.8, 0.1, 660, false), workspaces);
    }

    static ReleaseNote note(ObjectiveWeights weights, Workspace... workspaces) {
        return note(weights, new SpillRules(true, 0.5, 0.8, 0.4, 0.1, 0.3), workspaces);
    }

    static ReleaseNote note(ObjectiveWeights weights, SpillRules spill, Workspace... workspaces) {
        Map<WorkspaceId, Workspace> all = new TreeMap<>();
        for (Workspace workspace : workspaces) {
            all.put(workspace.id(), workspace);
        }
        Pool pool = new Pool(POOL, PoolKind.MODEL, Set.of(MODEL), true, 1);
        return new ReleaseNote(
                1,
                "d",
                List.of(A, B),
                new TreeMap<>(Map.of(new Zone("a1"), A, new Zone("b1"), B)),
                new TreeMap<>(Map.of(POOL, pool)),
                all,
                List.of(),
                List.of(new Link(A, B, 12_500_000, 55, 0.1)),
                spill,
                weights);
    }

    static ServerView server(Region region, String name, Health health, ServerLoad load) {
        return server(region, name, 1, health, load);
    }

    static ServerView server(Region region, String name, long incarnation, Health health, ServerLoad load) {
        return new ServerView(
                new ServerId(name),
                Optional.of(new Incarnation(incarnation, 0)),
                POOL,
                region,
                new Zone(region + "1"),
                ADDRESS,
                health,
                Set.of(MODEL),
                load);
    }

    static ServerLoad load(long atMs, int running, int queued, long queuedTokens, long decodeTokens) {
        return new ServerLoad(atMs, running, queued, queuedTokens, decodeTokens, 1_000, 0.5);
    }

    static InstanceView instance(Region region, String name, Health health, double load, double spare) {
        return new InstanceView(
                new InstanceId(name),
                Optional.empty(),
                region,
                new Zone(region + "1"),
                ADDRESS,
                ADDRESS,
                health,
                load,
                spare);
    }

    static FleetView fleet(Region here, double selfLoad, List<InstanceView> peers, List<ServerView> servers) {
        return new FleetView(instance(here, here + "-i", Health.LIVE, selfLoad, 500), peers, servers, NOW);
    }

    static List<ServerView> servers(Region region, int count, ServerLoad load) {
        List<ServerView> all = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            all.add(server(region, region + "-s" + i, Health.LIVE, load));
        }
        return all;
    }

    static PlacementRequest request(
            String id, Workspace workspace, int prompt, List<Long> prefix, List<Region> visited) {
        return new PlacementRequest(
                new RequestId(id),
                workspace,
                POOL,
                Optional.of(MODEL),
                workspace.priority(),
                NOW + 20_000,
                prompt,
                100,
                prefix,
                Set.of(),
                visited);
    }

    static PlacementRequest request(String id, Workspace workspace) {
        return request(id, workspace, 800, List.of(), List.of());
    }
}
