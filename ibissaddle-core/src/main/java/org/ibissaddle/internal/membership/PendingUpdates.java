package org.ibissaddle.internal.membership;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.ibissaddle.fleet.ServerLoad;
import org.ibissaddle.id.AdapterId;
import org.ibissaddle.id.InstanceId;
import org.ibissaddle.id.ModelId;
import org.ibissaddle.id.Region;
import org.ibissaddle.id.ServerId;
import org.ibissaddle.id.Zone;
import org.ibissaddle.internal.membership.UpdateQueue.Scope;
import org.ibissaddle.membership.Gossip.MemberUpdate;
import org.ibissaddle.membership.Gossip.PoolLoadUpdate;
import org.ibissaddle.membership.Gossip.RegionLoadUpdate;
import org.ibissaddle.membership.Gossip.ServerLoadUpdate;
import org.ibissaddle.membership.Gossip.ServerUpdate;
import org.ibissaddle.membership.LocalInstance;

/** Updates waiting to be gossiped to other instances, with the size limits of one message. */
final class PendingUpdates {
    private static final int MAX_MEMBERS = 20;
    private static final int MAX_SERVERS = 20;
    private static final int MAX_LOADS = 48;
    private static final int MAX_SUMMARIES = 12;
    private static final int LOAD_SENDS = 2;
    private static final int SUMMARY_SENDS = 3;

    private final LocalInstance self;
    private final UpdateQueue<InstanceId> members = new UpdateQueue<>();
    private final UpdateQueue<ServerObservation> servers = new UpdateQueue<>();
    private final UpdateQueue<ServerId> loads = new UpdateQueue<>();
    private final UpdateQueue<Timestamped<PoolLoadUpdate>> pools = new UpdateQueue<>();
    private final UpdateQueue<Timestamped<RegionLoadUpdate>> regions = new UpdateQueue<>();

    PendingUpdates(LocalInstance self) {
        this.self = self;
    }

    /** An observation of a server, with a timestamp of the local clock. */
    record ServerObservation(ServerId id, boolean leaving, InstanceId suspectedBy, long atMs, boolean resident) {}

    /** A value with the time of its observation, by the local clock. */
    record Timestamped<T>(T value, long atMs) {}

    void addMember(InstanceId id, int fleetSize, long nowMs) {
        members.put(id, id, Scope.FLEET, sendCount(fleetSize), nowMs);
    }

    void addServer(ServerObservation observation, int fleetSize, long nowMs) {
        String kind = observation.suspectedBy() == null
                ? (observation.resident() ? "resident" : "state")
                : observation.suspectedBy().name();
        int sends = observation.resident() && !observation.leaving() ? SUMMARY_SENDS : sendCount(fleetSize);
        servers.put(observation.id() + " " + kind, observation, Scope.REGION, sends, nowMs);
    }

    void addLoad(ServerId id, boolean wholeRegion, long nowMs) {
        loads.put(id, id, wholeRegion ? Scope.REGION : Scope.ZONE, LOAD_SENDS, nowMs);
    }

    void addPool(PoolLoadUpdate update, long atMs, long nowMs) {
        pools.put(
                update.zone() + " " + update.pool(),
                new Timestamped<>(update, atMs),
                Scope.REGION,
                SUMMARY_SENDS,
                nowMs);
    }

    void addRegion(RegionLoadUpdate update, long atMs, long nowMs) {
        regions.put(update.region(), new Timestamped<>(update, atMs), Scope.FLEET, SUMMARY_SENDS, nowMs);
    }

    private static int sendCount(int fleetSize) {
        int bits = Integer.SIZE - Integer.numberOfLeadingZeros(Math.max(1, fleetSize));
        return 3 + bits;
    }

    /** Takes the updates for one message to a receiver in the given region and zone. */
    UpdateBatch nextBatch(Region region, Zone zone, MemberTable memberTable, ServerTable serverTable, long nowMs) {
        UpdateBatch batch = new UpdateBatch();
        for (InstanceId id : members.take(MAX_MEMBERS, (item, scope) -> isInScope(scope, region, zone), nowMs)) {
            memberTable.updateOf(id).ifPresent(batch.members::add);
        }
        for (ServerObservation observation :
                servers.take(MAX_SERVERS, (item, scope) -> isInScope(scope, region, zone), nowMs)) {
            serverTable.server(observation.id()).ifPresent(server -> batch.addServer(server, observation, nowMs));
        }
        for (ServerId id : loads.take(MAX_LOADS, (item, scope) -> isInScope(scope, region, zone), nowMs)) {
            serverTable.server(id).ifPresent(server -> batch.addLoad(server, nowMs));
        }
        for (Timestamped<PoolLoadUpdate> entry :
                pools.take(MAX_SUMMARIES, (item, scope) -> isInScope(scope, region, zone), nowMs)) {
            batch.pools.add(withAge(entry.value(), nowMs - entry.atMs()));
        }
        for (Timestamped<RegionLoadUpdate> entry : regions.take(MAX_SUMMARIES, (item, scope) -> true, nowMs)) {
            RegionLoadUpdate update = entry.value();
            long ageMs = nowMs - entry.atMs();
            batch.regions.add(new RegionLoadUpdate(update.region(), ageMs, update.loadPercent(), update.spare()));
        }
        return batch;
    }

    private boolean isInScope(Scope scope, Region region, Zone zone) {
        return switch (scope) {
            case ZONE -> self.zone().equals(zone);
            case REGION -> self.region().equals(region);
            case FLEET -> true;
        };
    }

    private static PoolLoadUpdate withAge(PoolLoadUpdate update, long ageMs) {
        return new PoolLoadUpdate(
                update.zone(),
                update.pool(),
                ageMs,
                update.running(),
                update.queued(),
                update.queuedTokens(),
                update.decodeTokens(),
                update.capacity(),
                update.hitPercent());
    }

    /** The updates of one message. */
    static final class UpdateBatch {
        final List<MemberUpdate> members = new ArrayList<>();
        final List<ServerUpdate> servers = new ArrayList<>();
        final List<ServerLoadUpdate> loads = new ArrayList<>();
        final List<PoolLoadUpdate> pools = new ArrayList<>();
        final List<RegionLoadUpdate> regions = new ArrayList<>();
        private final Map<String, Integer> names = new LinkedHashMap<>();

        List<String> names() {
            return List.copyOf(names.keySet());
        }

        void addServer(Server server, ServerObservation observation, long nowMs) {
            List<Integer> resident = null;
            if (observation.resident() && server.residentKnown) {
                resident = new ArrayList<>();
                for (ModelId model : server.models) {
                    resident.add(nameIndex(model.toString()));
                }
                for (AdapterId adapter : server.adapters) {
                    resident.add(nameIndex(adapter.toString()));
                }
            }
            long ageMs = Math.max(0, nowMs - observation.atMs());
            boolean leaving = server.leaving || observation.leaving();
            servers.add(new ServerUpdate(
                    server.id, server.incarnation, leaving, observation.suspectedBy(), ageMs, resident));
        }

        private void addLoad(Server server, long nowMs) {
            ServerLoad load = server.load;
            loads.add(new ServerLoadUpdate(
                    server.id,
                    Math.max(0, nowMs - load.reportedAtMs()),
                    load.running(),
                    load.queued(),
                    load.queuedTokens(),
                    load.decodeTokens(),
                    Math.round(load.capacityTokensPerSecond()),
                    (int) Math.round(100 * load.hitRate())));
        }

        private int nameIndex(String name) {
            return names.computeIfAbsent(name, key -> names.size());
        }
    }
}
