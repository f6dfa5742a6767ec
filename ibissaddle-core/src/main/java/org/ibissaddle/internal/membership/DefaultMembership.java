package org.ibissaddle.internal.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.random.RandomGenerator;
import org.ibissaddle.fleet.FleetView;
import org.ibissaddle.fleet.Health;
import org.ibissaddle.fleet.InstanceView;
import org.ibissaddle.fleet.ServerLoad;
import org.ibissaddle.fleet.ServerView;
import org.ibissaddle.id.AdapterId;
import org.ibissaddle.id.InstanceId;
import org.ibissaddle.id.InvalidIdentifierException;
import org.ibissaddle.id.ModelId;
import org.ibissaddle.id.PoolId;
import org.ibissaddle.id.Region;
import org.ibissaddle.id.ServerId;
import org.ibissaddle.id.Zone;
import org.ibissaddle.internal.membership.PendingUpdates.ServerObservation;
import org.ibissaddle.internal.membership.PendingUpdates.Timestamped;
import org.ibissaddle.membership.FleetList;
import org.ibissaddle.membership.Gossip;
import org.ibissaddle.membership.Gossip.MemberUpdate;
import org.ibissaddle.membership.Gossip.PoolLoadUpdate;
import org.ibissaddle.membership.Gossip.RegionLoadUpdate;
import org.ibissaddle.membership.Gossip.ServerLoadUpdate;
import org.ibissaddle.membership.Gossip.ServerUpdate;
import org.ibissaddle.membership.LocalDemand;
import org.ibissaddle.membership.LocalInstance;
import org.ibissaddle.membership.MemberState;
import org.ibissaddle.membership.Membership;
import org.ibissaddle.membership.MembershipSnapshot;
import org.ibissaddle.membership.Peer;
import org.ibissaddle.membership.ServerPoll;
import org.ibissaddle.membership.ServerReport;

/** Default implementation of {@link Membership}. */
public final class DefaultMembership implements Membership {
    private static final long RESIDENT_RESEND_INTERVAL_MS = 60_000;
    private static final long SUMMARY_INTERVAL_MS = 4_000;
    private static final long SELF_ANNOUNCE_INTERVAL_MS = 10_000;
    private static final long URGENT_DURATION_MS = 3_000;
    private static final long OLDER_REVISION_IGNORE_MS = 60_000;

    private final LocalInstance self;
    private final MemberTable members;
    private final ServerTable servers;
    private final PendingUpdates pendingUpdates;
    private final PeerSelector peerSelector;
    private final ContactHistory contacts = new ContactHistory();
    private final Map<Region, Timestamped<RegionLoadUpdate>> regions = new HashMap<>();
    private FleetList list = new FleetList(0, List.of());
    private long listReceivedAtMs;
    private long urgentUntilMs;
    private long nextSummaryMs;
    private long nextSelfAnnounceMs;
    private double load;
    private List<LocalDemand> demands = List.of();
    private double spare;

    /**
     * Creates the membership of an instance that has no information about the fleet yet.
     *
     * @param self the local instance
     * @param random source of random numbers
     * @param nowMs current time, epoch milliseconds
     */
    public DefaultMembership(LocalInstance self, RandomGenerator random, long nowMs) {
        this.self = self;
        this.members = new MemberTable(self);
        this.servers = new ServerTable(self);
        this.pendingUpdates = new PendingUpdates(self);
        this.peerSelector = new PeerSelector(self, random);
        this.nextSummaryMs = nowMs + random.nextLong(SUMMARY_INTERVAL_MS);
    }

    @Override
    public void applyList(FleetList next, long nowMs) {
        boolean ignoredAsOlder =
                next.revision() < list.revision() && nowMs - listReceivedAtMs < OLDER_REVISION_IGNORE_MS;
        if (next.entries().isEmpty() || ignoredAsOlder) {
            return;
        }
        listReceivedAtMs = nowMs;
        if (next.equals(list)) {
            return;
        }
        if (list.revision() != 0) {
            urgentUntilMs = nowMs + URGENT_DURATION_MS;
        }
        list = next;
        members.applyList(next.entries(), nowMs);
        servers.applyList(next.entries(), nowMs);
    }

    @Override
    public FleetList newestList() {
        return list;
    }

    @Override
    public Optional<Peer> nextPeer(long nowMs) {
        return peerSelector.next(members.all());
    }

    @Override
    public Gossip createGossip(
            Optional<InstanceId> receiver,
            Gossip.DocumentVersion note,
            Gossip.DocumentVersion listVersion,
            long readAgeMs,
            long nowMs) {
        Optional<Member> member = receiver.flatMap(members::member);
        Region region = member.map(known -> known.region).orElse(self.region());
        Zone zone = member.map(known -> known.zone).orElse(self.zone());
        PendingUpdates.UpdateBatch batch = pendingUpdates.nextBatch(region, zone, members, servers, nowMs);
        member.filter(known -> known.state != MemberState.ALIVE && known.incarnation != null)
                .ifPresent(known -> batch.members.add(known.toUpdate()));
        return new Gossip(
                members.ownUpdate(),
                note,
                listVersion,
                readAgeMs,
                batch.members,
                batch.servers,
                batch.loads,
                batch.pools,
                batch.regions,
                batch.names(),
                demandsFor(region));
    }

    private List<Gossip.Demand> demandsFor(Region region) {
        return demands.stream()
                .filter(demand -> demand.home().isEmpty() || demand.home().get().equals(region))
                .map(demand -> new Gossip.Demand(demand.workspace(), demand.perSecond()))
                .toList();
    }

    @Override
    public void updateDemand(List<LocalDemand> next) {
        demands = next;
    }

    @Override
    public void applyGossip(Gossip gossip, long nowMs) {
        members.applySelfReport(gossip.from(), nowMs);
        for (MemberUpdate update : gossip.members()) {
            members.applyUpdate(update, nowMs);
        }
        for (ServerUpdate update : gossip.servers()) {
            servers.server(update.id()).ifPresent(server -> applyServerUpdate(server, update, gossip.names(), nowMs));
        }
        for (ServerLoadUpdate update : gossip.loads()) {
            servers.server(update.id()).ifPresent(server -> applyLoad(server, update, nowMs));
        }
        for (PoolLoadUpdate update : gossip.pools()) {
            applyPoolSummary(update, nowMs);
        }
        for (RegionLoadUpdate update : gossip.regions()) {
            applyRegionSummary(update, nowMs);
        }
        queueMemberChanges(nowMs);
    }

    @Override
    public MembershipSnapshot snapshot(Region receiver, long nowMs) {
        List<MemberUpdate> memberUpdates = new ArrayList<>();
        memberUpdates.add(members.ownUpdate());
        for (Member member : members.all()) {
            boolean differsFromList = member.state != MemberState.ALIVE || member.leaving || !member.listed;
            if (differsFromList && member.incarnation != null) {
                memberUpdates.add(member.toUpdate());
            }
        }
        PendingUpdates.UpdateBatch batch = new PendingUpdates.UpdateBatch();
        if (receiver.equals(self.region())) {
            for (Server server : servers.all()) {
                batch.addServer(
                        server,
                        new ServerObservation(server.id, server.leaving, null, server.residentUpdatedAtMs, true),
                        nowMs);
            }
        }
        return new MembershipSnapshot(memberUpdates, batch.servers, batch.names());
    }

    @Override
    public void applySnapshot(MembershipSnapshot snapshot, long nowMs) {
        for (MemberUpdate update : snapshot.members()) {
            members.applyUpdate(update, nowMs);
        }
        for (ServerUpdate update : snapshot.servers()) {
            servers.server(update.id()).ifPresent(server -> applyServerUpdate(server, update, snapshot.names(), nowMs));
        }
        queueMemberChanges(nowMs);
    }

    private void queueMemberChanges(long nowMs) {
        for (InstanceId id : members.drainChanged()) {
            pendingUpdates.addMember(id, members.all().size() + 1, nowMs);
            urgentUntilMs = nowMs + URGENT_DURATION_MS;
        }
    }

    private void applyServerUpdate(Server server, ServerUpdate update, List<String> names, long nowMs) {
        if (server.isOlderIncarnation(update.incarnation())) {
            return;
        }
        boolean newIncarnation = server.adoptIncarnation(update.incarnation());
        long atMs = nowMs - Math.max(0, update.ageMs());
        boolean startedLeaving = update.leaving() && !server.leaving;
        server.leaving |= update.leaving();
        if (update.resident() != null && (newIncarnation || atMs > server.residentUpdatedAtMs)) {
            server.residentUpdatedAtMs = atMs;
            updateResident(server, update.resident(), names);
            pendingUpdates.addServer(
                    new ServerObservation(server.id, server.leaving, null, atMs, true), fleetSize(), nowMs);
        }
        if (update.doubter() != null && !update.doubter().equals(self.id())) {
            if (server.recordSuspicion(update.doubter(), atMs)) {
                queueUrgently(new ServerObservation(server.id, false, update.doubter(), atMs, false), nowMs);
            }
        }
        if (newIncarnation || startedLeaving) {
            queueUrgently(new ServerObservation(server.id, server.leaving, null, atMs, false), nowMs);
        }
    }

    private static void updateResident(Server server, List<Integer> positions, List<String> names) {
        Set<ModelId> models = new HashSet<>();
        Set<AdapterId> adapters = new HashSet<>();
        for (int position : positions) {
            if (position >= 0 && position < names.size()) {
                addName(names.get(position), models, adapters);
            }
        }
        server.setResident(models, adapters);
    }

    private static void addName(String name, Set<ModelId> models, Set<AdapterId> adapters) {
        try {
            if (name.indexOf('@') >= 0) {
                models.add(ModelId.parse(name));
            } else {
                adapters.add(new AdapterId(name));
            }
        } catch (InvalidIdentifierException e) {
            // Skip names that this version cannot parse, and keep the others.
        }
    }

    private void applyLoad(Server server, ServerLoadUpdate update, long nowMs) {
        long atMs = nowMs - Math.max(0, update.ageMs());
        if (atMs <= server.load.reportedAtMs() + servers.pollIntervalMs() / 2) {
            return;
        }
        server.recordAnswer(atMs);
        server.load = new ServerLoad(
                atMs,
                update.running(),
                update.queued(),
                update.queuedTokens(),
                update.decodeTokens(),
                update.capacity(),
                update.hitPercent() / 100.0);
        pendingUpdates.addLoad(server.id, servers.sharesLoadsInRegion(), nowMs);
    }

    private void applyPoolSummary(PoolLoadUpdate update, long nowMs) {
        long atMs = nowMs - Math.max(0, update.ageMs());
        if (servers.updateSummary(update, atMs)) {
            pendingUpdates.addPool(update, atMs, nowMs);
        }
    }

    private void applyRegionSummary(RegionLoadUpdate update, long nowMs) {
        long atMs = nowMs - Math.max(0, update.ageMs());
        Timestamped<RegionLoadUpdate> known = regions.get(update.region());
        if (known == null || atMs > known.atMs() + SUMMARY_INTERVAL_MS / 4) {
            regions.put(update.region(), new Timestamped<>(update, atMs));
            pendingUpdates.addRegion(update, atMs, nowMs);
        }
    }

    private void queueUrgently(ServerObservation observation, long nowMs) {
        pendingUpdates.addServer(observation, fleetSize(), nowMs);
        urgentUntilMs = nowMs + URGENT_DURATION_MS;
    }

    private int fleetSize() {
        return members.all().size() + 1;
    }

    @Override
    public void recordContact(Optional<InstanceId> peer, boolean answered, long nowMs) {
        Optional<Member> member = peer.flatMap(members::member);
        boolean wasDown =
                member.filter(known -> known.state == MemberState.DOWN).isPresent();
        if (answered || !wasDown) {
            contacts.add(answered, nowMs);
        }
        if (answered || member.isEmpty()) {
            return;
        }
        members.recordFailure(member.get().id, contacts.isolated(nowMs), nowMs);
        peerSelector.retryNext(member.get().id);
        queueMemberChanges(nowMs);
    }

    @Override
    public List<ServerPoll> duePolls(long nowMs) {
        Map<Zone, List<InstanceId>> workers = new HashMap<>();
        List<ServerPoll> due = new ArrayList<>();
        for (Server server : servers.all()) {
            if (server.pollInFlight || server.nextPollMs > nowMs) {
                continue;
            }
            List<InstanceId> candidates = workers.computeIfAbsent(server.entry.zone(), members::zoneWorkers);
            int rank = RendezvousHash.rank(server.id.name(), self.id(), candidates);
            boolean verifiesSuspicion = rank <= 2 && server.suspectedByOthers(self.id());
            boolean firstPoll = servers.sharesLoadsInRegion() && !server.hasAnswered();
            boolean assigned = candidates.contains(self.id()) && (rank == 0 || verifiesSuspicion || firstPoll);
            if (assigned || (server.isSuspect(self.id(), nowMs) && !server.isLeaving())) {
                server.pollInFlight = true;
                due.add(new ServerPoll(server.id, server.entry.address()));
            }
            server.nextPollMs = nowMs + (assigned ? servers.pollIntervalMs() : servers.pollIntervalMs() / 4);
        }
        return due;
    }

    @Override
    public void applyReport(ServerReport report, long nowMs) {
        contacts.add(true, nowMs);
        Optional<Server> known = servers.server(report.server());
        if (known.isEmpty()) {
            return;
        }
        Server server = known.get();
        server.pollInFlight = false;
        if (server.isOlderIncarnation(report.incarnation().orElse(null))) {
            return;
        }
        boolean newIncarnation = server.adoptIncarnation(report.incarnation().orElse(null));
        boolean startedLeaving = report.leaving() && !server.leaving;
        server.leaving |= report.leaving();
        server.recordAnswer(nowMs);
        server.load = report.load();
        if (newIncarnation || nowMs - server.loadPublishedAtMs >= 2 * servers.pollIntervalMs()) {
            server.loadPublishedAtMs = nowMs;
            pendingUpdates.addLoad(server.id, servers.sharesLoadsInRegion(), nowMs);
        }
        boolean residentChanged = !server.models.equals(report.models()) || !server.adapters.equals(report.adapters());
        server.setResident(report.models(), report.adapters());
        if (newIncarnation
                || startedLeaving
                || residentChanged
                || nowMs - server.residentUpdatedAtMs > RESIDENT_RESEND_INTERVAL_MS) {
            server.residentUpdatedAtMs = nowMs;
            ServerObservation observation = new ServerObservation(server.id, server.leaving, null, nowMs, true);
            pendingUpdates.addServer(observation, fleetSize(), nowMs);
        }
        if (newIncarnation || startedLeaving) {
            queueUrgently(new ServerObservation(server.id, server.leaving, null, nowMs, false), nowMs);
        }
    }

    @Override
    public void recordUnreachable(ServerId id, long nowMs) {
        contacts.add(false, nowMs);
        Optional<Server> server = servers.server(id);
        if (server.isEmpty()) {
            return;
        }
        server.get().pollInFlight = false;
        if (server.get().recordSuspicion(self.id(), nowMs) && !contacts.isolated(nowMs)) {
            queueUrgently(new ServerObservation(id, false, self.id(), nowMs, false), nowMs);
        }
    }

    @Override
    public void recordServerDraining(ServerId id, long nowMs) {
        Optional<Server> server = servers.server(id).filter(candidate -> !candidate.leaving);
        if (server.isPresent()) {
            server.get().leaving = true;
            queueUrgently(new ServerObservation(id, true, null, nowMs, false), nowMs);
        }
    }

    @Override
    public void startDraining() {
        members.leave();
        nextSelfAnnounceMs = 0;
    }

    @Override
    public void updateRegionLoad(double nextLoad, double nextSpare) {
        load = nextLoad;
        spare = nextSpare;
    }

    @Override
    public void tick(long nowMs) {
        members.expire(contacts.isolated(nowMs), nowMs);
        if (nextSelfAnnounceMs <= nowMs && (!members.selfListed() || members.leaving())) {
            nextSelfAnnounceMs = nowMs + SELF_ANNOUNCE_INTERVAL_MS;
            pendingUpdates.addMember(self.id(), fleetSize(), nowMs);
            urgentUntilMs = nowMs + URGENT_DURATION_MS;
        }
        if (nextSummaryMs <= nowMs) {
            nextSummaryMs = nowMs + SUMMARY_INTERVAL_MS;
            summarize(nowMs);
        }
        queueMemberChanges(nowMs);
    }

    private void summarize(long nowMs) {
        if (rank("summary") == 0 && !servers.sharesLoadsInRegion()) {
            for (PoolLoadUpdate mean : servers.meanLoads(self.zone(), nowMs)) {
                pendingUpdates.addPool(mean, nowMs, nowMs);
            }
        }
        RegionLoadUpdate summary =
                new RegionLoadUpdate(self.region(), 0, (int) Math.round(100 * load), Math.round(spare));
        List<InstanceId> inRegion = members.regionWorkers();
        if (RendezvousHash.rank("region", self.id(), inRegion) == 0) {
            regions.put(self.region(), new Timestamped<>(summary, nowMs));
            pendingUpdates.addRegion(summary, nowMs, nowMs);
        }
    }

    @Override
    public boolean isolated(long nowMs) {
        return contacts.isolated(nowMs);
    }

    @Override
    public boolean hasUrgentUpdates(long nowMs) {
        return nowMs < urgentUntilMs;
    }

    @Override
    public int rank(String task) {
        return RendezvousHash.rank(self.zone() + " " + task, self.id(), members.zoneWorkers(self.zone()));
    }

    @Override
    public boolean isInLocalZone(InstanceId id) {
        return members.member(id)
                .filter(known -> known.zone.equals(self.zone()))
                .isPresent();
    }

    @Override
    public FleetView view(Function<PoolId, Set<ModelId>> declaredModels, long refreshedAtMs, long nowMs) {
        Health health = members.leaving() ? Health.LEAVING : Health.LIVE;
        InstanceView selfView = new InstanceView(
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
            Optional<RegionLoadUpdate> regionUpdate =
                    Optional.ofNullable(regions.get(member.region)).map(Timestamped::value);
            double regionLoad =
                    regionUpdate.map(update -> update.loadPercent() / 100.0).orElse(0.0);
            double regionSpare =
                    regionUpdate.map(update -> (double) update.spare()).orElse(0.0);
            peers.add(member.view(regionLoad, regionSpare));
        }
        List<ServerView> serverViews = new ArrayList<>();
        for (Server server : servers.all()) {
            Set<ModelId> declared = declaredModels.apply(server.entry.pool().orElseThrow());
            serverViews.add(server.view(self.id(), servers.effectiveLoad(server, nowMs), declared, nowMs));
        }
        return new FleetView(selfView, peers, serverViews, refreshedAtMs);
    }
}
