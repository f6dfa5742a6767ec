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
import org.ibissaddle.internal.membership.NewsQueue.Scope;
import org.ibissaddle.membership.Gossip.LoadNews;
import org.ibissaddle.membership.Gossip.MemberNews;
import org.ibissaddle.membership.Gossip.PoolNews;
import org.ibissaddle.membership.Gossip.RegionNews;
import org.ibissaddle.membership.Gossip.ServerNews;
import org.ibissaddle.membership.Self;

/** What waits to be told to others, with the limits of one message. */
final class News {
    private static final int MAX_MEMBERS = 20;
    private static final int MAX_SERVERS = 20;
    private static final int MAX_LOADS = 48;
    private static final int MAX_SUMMARIES = 12;
    private static final int LOAD_SENDS = 2;
    private static final int SUMMARY_SENDS = 3;

    private final Self self;
    private final NewsQueue<InstanceId> members = new NewsQueue<>();
    private final NewsQueue<ServerItem> servers = new NewsQueue<>();
    private final NewsQueue<ServerId> loads = new NewsQueue<>();
    private final NewsQueue<Timed<PoolNews>> pools = new NewsQueue<>();
    private final NewsQueue<Timed<RegionNews>> regions = new NewsQueue<>();

    News(Self self) {
        this.self = self;
    }

    /** An observation of a server; its time is of the own clock. */
    record ServerItem(ServerId id, boolean leaving, InstanceId doubter, long atMs, boolean resident) {}

    /** Something with the time of the own clock at which it was observed. */
    record Timed<T>(T value, long atMs) {}

    void member(InstanceId id, int fleetSize, long nowMs) {
        members.put(id, id, Scope.FLEET, sends(fleetSize), nowMs);
    }

    void server(ServerItem item, int fleetSize, long nowMs) {
        String kind = item.doubter() == null
                ? (item.resident() ? "resident" : "state")
                : item.doubter().name();
        int sends = item.resident() && !item.leaving() ? SUMMARY_SENDS : sends(fleetSize);
        servers.put(item.id() + " " + kind, item, Scope.REGION, sends, nowMs);
    }

    void load(ServerId id, boolean wholeRegion, long nowMs) {
        loads.put(id, id, wholeRegion ? Scope.REGION : Scope.ZONE, LOAD_SENDS, nowMs);
    }

    void pool(PoolNews news, long atMs, long nowMs) {
        pools.put(news.zone() + " " + news.pool(), new Timed<>(news, atMs), Scope.REGION, SUMMARY_SENDS, nowMs);
    }

    void region(RegionNews news, long atMs, long nowMs) {
        regions.put(news.region(), new Timed<>(news, atMs), Scope.FLEET, SUMMARY_SENDS, nowMs);
    }

    private static int sends(int fleetSize) {
        int bits = Integer.SIZE - Integer.numberOfLeadingZeros(Math.max(1, fleetSize));
        return 3 + bits;
    }

    /** Takes what goes into one message to a receiver. */
    Parcel take(Region region, Zone zone, MemberTable memberTable, ServerTable serverTable, long nowMs) {
        Parcel parcel = new Parcel();
        for (InstanceId id : members.take(MAX_MEMBERS, (id, scope) -> reaches(scope, region, zone), nowMs)) {
            memberTable.newsOf(id).ifPresent(parcel.members::add);
        }
        for (ServerItem item : servers.take(MAX_SERVERS, (one, scope) -> reaches(scope, region, zone), nowMs)) {
            serverTable.server(item.id()).ifPresent(server -> parcel.add(server, item, nowMs));
        }
        for (ServerId id : loads.take(MAX_LOADS, (one, scope) -> reaches(scope, region, zone), nowMs)) {
            serverTable.server(id).ifPresent(server -> parcel.add(server, nowMs));
        }
        for (Timed<PoolNews> timed : pools.take(MAX_SUMMARIES, (one, scope) -> reaches(scope, region, zone), nowMs)) {
            parcel.pools.add(aged(timed.value(), nowMs - timed.atMs()));
        }
        for (Timed<RegionNews> timed : regions.take(MAX_SUMMARIES, (one, scope) -> true, nowMs)) {
            RegionNews news = timed.value();
            long ageMs = nowMs - timed.atMs();
            parcel.regions.add(new RegionNews(news.region(), ageMs, news.loadPercent(), news.spare()));
        }
        return parcel;
    }

    private boolean reaches(Scope scope, Region region, Zone zone) {
        return switch (scope) {
            case ZONE -> self.zone().equals(zone);
            case REGION -> self.region().equals(region);
            case FLEET -> true;
        };
    }

    private static PoolNews aged(PoolNews news, long ageMs) {
        return new PoolNews(
                news.zone(),
                news.pool(),
                ageMs,
                news.running(),
                news.queued(),
                news.queuedTokens(),
                news.decodeTokens(),
                news.capacity(),
                news.hitPercent());
    }

    /** The news of one message. */
    static final class Parcel {
        final List<MemberNews> members = new ArrayList<>();
        final List<ServerNews> servers = new ArrayList<>();
        final List<LoadNews> loads = new ArrayList<>();
        final List<PoolNews> pools = new ArrayList<>();
        final List<RegionNews> regions = new ArrayList<>();
        private final Map<String, Integer> names = new LinkedHashMap<>();

        List<String> names() {
            return List.copyOf(names.keySet());
        }

        void add(Server server, ServerItem item, long nowMs) {
            List<Integer> resident = null;
            if (item.resident()) {
                resident = new ArrayList<>();
                for (ModelId model : server.models) {
                    resident.add(position(model.toString()));
                }
                for (AdapterId adapter : server.adapters) {
                    resident.add(position(adapter.toString()));
                }
            }
            long ageMs = Math.max(0, nowMs - item.atMs());
            boolean leaving = server.leaving || item.leaving();
            servers.add(new ServerNews(server.id, server.incarnation, leaving, item.doubter(), ageMs, resident));
        }

        private void add(Server server, long nowMs) {
            ServerLoad load = server.load;
            loads.add(new LoadNews(
                    server.id,
                    Math.max(0, nowMs - load.reportedAtMs()),
                    load.running(),
                    load.queued(),
                    load.queuedTokens(),
                    load.decodeTokens(),
                    Math.round(load.capacityTokensPerSecond()),
                    (int) Math.round(100 * load.hitRate())));
        }

        private int position(String name) {
            return names.computeIfAbsent(name, n -> names.size());
        }
    }
}
