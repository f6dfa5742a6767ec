package org.ibissaddle.internal.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.ibissaddle.fleet.FleetView;
import org.ibissaddle.fleet.Health;
import org.ibissaddle.fleet.InstanceView;
import org.ibissaddle.fleet.ServerLoad;
import org.ibissaddle.fleet.ServerView;
import org.ibissaddle.id.AdapterId;
import org.ibissaddle.id.InstanceId;
import org.ibissaddle.id.InvalidNameException;
import org.ibissaddle.id.ModelId;
import org.ibissaddle.id.Region;
import org.ibissaddle.id.ServerId;
import org.ibissaddle.id.Zone;
import org.ibissaddle.internal.membership.News.ServerItem;
import org.ibissaddle.internal.membership.News.Timed;
import org.ibissaddle.membership.FleetList;
import org.ibissaddle.membership.Gossip;
import org.ibissaddle.membership.Gossip.LoadNews;
import org.ibissaddle.membership.Gossip.MemberNews;
import org.ibissaddle.membership.Gossip.PoolNews;
import org.ibissaddle.membership.Gossip.RegionNews;
import org.ibissaddle.membership.Gossip.ServerNews;
import org.ibissaddle.membership.MemberState;
import org.ibissaddle.membership.Membership;
import org.ibissaddle.membership.Peer;
import org.ibissaddle.membership.Self;
import org.ibissaddle.membership.ServerPoll;
import org.ibissaddle.membership.ServerReport;
import org.ibissaddle.membership.Snapshot;

/** The beliefs of one instance. */
public final class Beliefs implements Membership {
    private static final long TELL_RESIDENT_MS = 60_000;
    private static final long SUMMARY_MS = 4_000;
    private static final long ANNOUNCE_MS = 10_000;
    private static final long URGENT_MS = 3_000;
    private static final long OLD_REVISION_MS = 60_000;

    private final Self self;
    private final MemberTable members;
    private final ServerTable servers;
    private final News news;
    private final PeerChoice choice;
    private final Contacts contacts = new Contacts();
    private final Map<Region, Timed<RegionNews>> regions = new HashMap<>();
    private FleetList list = new FleetList(0, List.of());
    private long listAtMs;
    private long urgentUntilMs;
    private long summaryAtMs;
    private long announceAtMs;
    private double load;
    private double spare;

    /**
     * Creates the beliefs of an instance that knows nobody yet.
     *
     * @param self the instance
     * @param random source of random numbers
     * @param nowMs current time, epoch milliseconds
     */
    public Beliefs(Self self, RandomGenerator random, long nowMs) {
        this.self = self;
        this.members = new MemberTable(self);
        this.servers = new ServerTable(self);
        this.news = new News(self);
        this.choice = new PeerChoice(self, random);
        this.summaryAtMs = nowMs + random.nextLong(SUMMARY_MS);
    }

    @Override
    public void list(FleetList next, long nowMs) {
        boolean older = next.revision() < list.revision() && nowMs - listAtMs < OLD_REVISION_MS;
        if (next.entries().isEmpty() || older) {
            return;
        }
        listAtMs = nowMs;
        if (next.equals(list)) {
            return;
        }
        if (list.revision() != 0) {
            urgentUntilMs = nowMs + URGENT_MS;
        }
        list = next;
        members.list(next.entries(), nowMs);
        servers.list(next.entries(), nowMs);
    }

    @Override
    public FleetList newestList() {
        return list;
    }

    @Override
    public Optional<Peer> nextPeer(long nowMs) {
        return choice.next(members.all());
    }

    @Override
    public Gossip tell(
            Optional<InstanceId> receiver, Gossip.Mark note, Gossip.Mark listMark, long readAgeMs, long nowMs) {
        Optional<Member> member = receiver.flatMap(members::member);
        Region region = member.map(one -> one.region).orElse(self.region());
        Zone zone = member.map(one -> one.zone).orElse(self.zone());
        News.Parcel parcel = news.take(region, zone, members, servers, nowMs);
        member.filter(one -> one.state != MemberState.ALIVE && one.incarnation != null)
                .ifPresent(one -> parcel.members.add(one.news()));
        return new Gossip(
                members.own(),
                note,
                listMark,
                readAgeMs,
                parcel.members,
                parcel.servers,
                parcel.loads,
                parcel.pools,
                parcel.regions,
                parcel.names());
    }

    @Override
    public void hear(Gossip gossip, long nowMs) {
        members.heard(gossip.from(), nowMs);
        for (MemberNews one : gossip.members()) {
            members.news(one, nowMs);
        }
        for (ServerNews one : gossip.servers()) {
            servers.server(one.id()).ifPresent(server -> hear(server, one, gossip.names(), nowMs));
        }
        for (LoadNews one : gossip.loads()) {
            servers.server(one.id()).ifPresent(server -> hear(server, one, nowMs));
        }
        for (PoolNews one : gossip.pools()) {
            hear(one, nowMs);
        }
        for (RegionNews one : gossip.regions()) {
            hear(one, nowMs);
        }
        passOn(nowMs);
    }

    @Override
    public Snapshot snapshot(Region receiver, long nowMs) {
        List<MemberNews> told = new ArrayList<>();
        told.add(members.own());
        for (Member member : members.all()) {
            boolean special = member.state != MemberState.ALIVE || member.leaving || !member.listed;
            if (special && member.incarnation != null) {
                told.add(member.news());
            }
        }
        News.Parcel parcel = new News.Parcel();
        if (receiver.equals(self.region())) {
            for (Server server : servers.all()) {
                parcel.add(server, new ServerItem(server.id, server.leaving, null, server.toldAtMs, true), nowMs);
            }
        }
        return new Snapshot(told, parcel.servers, parcel.names());
    }

    @Override
    public void catchUp(Snapshot snapshot, long nowMs) {
        for (MemberNews one : snapshot.members()) {
            members.news(one, nowMs);
        }
        for (ServerNews one : snapshot.servers()) {
            servers.server(one.id()).ifPresent(server -> hear(server, one, snapshot.names(), nowMs));
        }
        passOn(nowMs);
    }

    private void passOn(long nowMs) {
        for (InstanceId id : members.takeChanged()) {
            news.member(id, members.all().size() + 1, nowMs);
            urgentUntilMs = nowMs + URGENT_MS;
        }
    }

    private void hear(Server server, ServerNews one, List<String> names, long nowMs) {
        if (server.outdated(one.incarnation())) {
            return;
        }
        boolean entered = server.enter(one.incarnation());
        long atMs = nowMs - Math.max(0, one.ageMs());
        boolean left = one.leaving() && !server.leaving;
        server.leaving |= one.leaving();
        if (one.resident() != null && (entered || atMs > server.toldAtMs)) {
            server.toldAtMs = atMs;
            resident(server, one.resident(), names);
            news.server(new ServerItem(server.id, server.leaving, null, atMs, true), fleetSize(), nowMs);
        }
        if (one.doubter() != null && !one.doubter().equals(self.id())) {
            if (server.doubt(one.doubter(), atMs)) {
                tellUrgently(new ServerItem(server.id, false, one.doubter(), atMs, false), nowMs);
            }
        }
        if (entered || left) {
            tellUrgently(new ServerItem(server.id, server.leaving, null, atMs, false), nowMs);
        }
    }

    private static void resident(Server server, List<Integer> positions, List<String> names) {
        Set<ModelId> models = new HashSet<>();
        Set<AdapterId> adapters = new HashSet<>();
        for (int position : positions) {
            if (position >= 0 && position < names.size()) {
                addName(names.get(position), models, adapters);
            }
        }
        server.models = Set.copyOf(models);
        server.adapters = Set.copyOf(adapters);
    }

    private static void addName(String name, Set<ModelId> models, Set<AdapterId> adapters) {
        try {
            if (name.indexOf('@') >= 0) {
                models.add(ModelId.parse(name));
            } else {
                adapters.add(new AdapterId(name));
            }
        } catch (InvalidNameException e) {
            // A name that this version does not know is no reason to drop the rest.
        }
    }

    private void hear(Server server, LoadNews one, long nowMs) {
        long atMs = nowMs - Math.max(0, one.ageMs());
        if (atMs <= server.load.reportedAtMs() + servers.pollMs() / 2) {
            return;
        }
        server.answered(atMs);
        server.load = new ServerLoad(
                atMs,
                one.running(),
                one.queued(),
                one.queuedTokens(),
                one.decodeTokens(),
                one.capacity(),
                one.hitPercent() / 100.0);
        news.load(server.id, servers.fine(), nowMs);
    }

    private void hear(PoolNews one, long nowMs) {
        long atMs = nowMs - Math.max(0, one.ageMs());
        if (servers.summary(one, atMs)) {
            news.pool(one, atMs, nowMs);
        }
    }

    private void hear(RegionNews one, long nowMs) {
        long atMs = nowMs - Math.max(0, one.ageMs());
        Timed<RegionNews> known = regions.get(one.region());
        if (known == null || atMs > known.atMs() + SUMMARY_MS / 4) {
            regions.put(one.region(), new Timed<>(one, atMs));
            news.region(one, atMs, nowMs);
        }
    }

    private void tellUrgently(ServerItem item, long nowMs) {
        news.server(item, fleetSize(), nowMs);
        urgentUntilMs = nowMs + URGENT_MS;
    }

    private int fleetSize() {
        return members.all().size() + 1;
    }

    @Override
    public void contacted(Optional<InstanceId> peer, boolean answered, long nowMs) {
        Optional<Member> member = peer.flatMap(members::member);
        boolean wasDown = member.filter(one -> one.state == MemberState.DOWN).isPresent();
        if (answered || !wasDown) {
            contacts.add(answered, nowMs);
        }
        if (answered || member.isEmpty()) {
            return;
        }
        members.failed(member.get().id, contacts.isolated(nowMs), nowMs);
        choice.again(member.get().id);
        passOn(nowMs);
    }

    @Override
    public List<ServerPoll> duePolls(long nowMs) {
        Map<Zone, List<InstanceId>> workers = new HashMap<>();
        List<ServerPoll> due = new ArrayList<>();
        for (Server server : servers.all()) {
            if (server.polling || server.pollAtMs > nowMs) {
                continue;
            }
            List<InstanceId> candidates = workers.computeIfAbsent(server.entry.zone(), members::workers);
            int rank = Rendezvous.rank(server.id.name(), self.id(), candidates);
            boolean second = rank <= 2 && server.doubtedByOthers(self.id());
            boolean first = servers.fine() && !server.heard();
            boolean mine = candidates.contains(self.id()) && (rank == 0 || second || first);
            if (mine || (server.doubted(self.id(), nowMs) && !server.leaves())) {
                server.polling = true;
                due.add(new ServerPoll(server.id, server.entry.address()));
            }
            server.pollAtMs = nowMs + (mine ? servers.pollMs() : servers.pollMs() / 4);
        }
        return due;
    }

    @Override
    public void reported(ServerReport report, long nowMs) {
        contacts.add(true, nowMs);
        Optional<Server> known = servers.server(report.server());
        if (known.isEmpty()) {
            return;
        }
        Server server = known.get();
        server.polling = false;
        if (server.outdated(report.incarnation().orElse(null))) {
            return;
        }
        boolean entered = server.enter(report.incarnation().orElse(null));
        boolean left = report.leaving() && !server.leaving;
        server.leaving |= report.leaving();
        server.answered(nowMs);
        server.load = report.load();
        if (entered || nowMs - server.loadToldAtMs >= 2 * servers.pollMs()) {
            server.loadToldAtMs = nowMs;
            news.load(server.id, servers.fine(), nowMs);
        }
        boolean moved = !server.models.equals(report.models()) || !server.adapters.equals(report.adapters());
        server.models = report.models();
        server.adapters = report.adapters();
        if (entered || left || moved || nowMs - server.toldAtMs > TELL_RESIDENT_MS) {
            server.toldAtMs = nowMs;
            ServerItem item = new ServerItem(server.id, server.leaving, null, nowMs, true);
            news.server(item, fleetSize(), nowMs);
        }
        if (entered || left) {
            tellUrgently(new ServerItem(server.id, server.leaving, null, nowMs, false), nowMs);
        }
    }

    @Override
    public void unreachable(ServerId id, long nowMs) {
        contacts.add(false, nowMs);
        Optional<Server> server = servers.server(id);
        if (server.isEmpty()) {
            return;
        }
        server.get().polling = false;
        if (server.get().doubt(self.id(), nowMs) && !contacts.isolated(nowMs)) {
            tellUrgently(new ServerItem(id, false, self.id(), nowMs, false), nowMs);
        }
    }

    @Override
    public void leaving(ServerId id, long nowMs) {
        Optional<Server> server = servers.server(id).filter(one -> !one.leaving);
        if (server.isPresent()) {
            server.get().leaving = true;
            tellUrgently(new ServerItem(id, true, null, nowMs, false), nowMs);
        }
    }

    @Override
    public void leave() {
        members.leave();
        announceAtMs = 0;
    }

    @Override
    public void estimate(double nextLoad, double nextSpare) {
        load = nextLoad;
        spare = nextSpare;
    }

    @Override
    public void tick(long nowMs) {
        members.expire(contacts.isolated(nowMs), nowMs);
        if (announceAtMs <= nowMs && (!members.selfListed() || members.leaving())) {
            announceAtMs = nowMs + ANNOUNCE_MS;
            news.member(self.id(), fleetSize(), nowMs);
            urgentUntilMs = nowMs + URGENT_MS;
        }
        if (summaryAtMs <= nowMs) {
            summaryAtMs = nowMs + SUMMARY_MS;
            summarize(nowMs);
        }
        passOn(nowMs);
    }

    private void summarize(long nowMs) {
        if (rank("summary") == 0 && !servers.fine()) {
            for (PoolNews mean : servers.means(self.zone(), nowMs)) {
                news.pool(mean, nowMs, nowMs);
            }
        }
        RegionNews own = new RegionNews(self.region(), 0, (int) Math.round(100 * load), Math.round(spare));
        List<InstanceId> inRegion = members.workersOfRegion();
        if (Rendezvous.rank("region", self.id(), inRegion) == 0) {
            regions.put(self.region(), new Timed<>(own, nowMs));
            news.region(own, nowMs, nowMs);
        }
    }

    @Override
    public boolean isolated(long nowMs) {
        return contacts.isolated(nowMs);
    }

    @Override
    public boolean urgent(long nowMs) {
        return nowMs < urgentUntilMs;
    }

    @Override
    public int rank(String task) {
        return Rendezvous.rank(self.zone() + " " + task, self.id(), members.workers(self.zone()));
    }

    @Override
    public boolean inOwnZone(InstanceId id) {
        return members.member(id).filter(one -> one.zone.equals(self.zone())).isPresent();
    }

    @Override
    public FleetView view(long refreshedAtMs, long nowMs) {
        Health health = members.leaving() ? Health.LEAVING : Health.LIVE;
        InstanceView own = new InstanceView(
                self.id(),
                Optional.of(self.incarnation()),
                self.region(),
                self.zone(),
                self.caller(),
                self.control(),
                health,
                load,
                spare);
        List<InstanceView> peers = new ArrayList<>();
        for (Member member : members.all()) {
            Optional<RegionNews> told =
                    Optional.ofNullable(regions.get(member.region)).map(Timed::value);
            double regionLoad = told.map(one -> one.loadPercent() / 100.0).orElse(0.0);
            double regionSpare = told.map(one -> (double) one.spare()).orElse(0.0);
            peers.add(member.view(regionLoad, regionSpare));
        }
        List<ServerView> seen = new ArrayList<>();
        for (Server server : servers.all()) {
            seen.add(server.view(self.id(), servers.load(server, nowMs), nowMs));
        }
        return new FleetView(own, peers, seen, refreshedAtMs);
    }
}
