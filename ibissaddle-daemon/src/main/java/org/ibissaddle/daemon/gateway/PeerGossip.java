package org.ibissaddle.daemon.gateway;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;
import org.ibissaddle.catalog.CatalogEvent;
import org.ibissaddle.catalog.CatalogItem;
import org.ibissaddle.catalog.StoreVersion;
import org.ibissaddle.daemon.http.Endpoint;
import org.ibissaddle.daemon.http.HttpClient;
import org.ibissaddle.id.Address;
import org.ibissaddle.id.InvalidIdentifierException;
import org.ibissaddle.id.Region;
import org.ibissaddle.peer.PeerState;
import org.ibissaddle.peer.PeerTable;
import org.ibissaddle.peer.PeerUpdate;
import org.ibissaddle.peer.RelayedState;
import org.ibissaddle.peer.ServiceLoad;
import org.ibissaddle.quarantine.CrashUpdate;

/**
 * Gossips with other instances: which instances are alive, the load of the regions, and what the platform published.
 */
final class PeerGossip {
    private static final String PATH = "/ibissaddle/peers";
    /** Interval between gossip rounds, milliseconds. */
    private static final long ROUND_INTERVAL_MS = 500;
    /** Maximum number of states of other instances in a response to an instance of an earlier version. */
    private static final int MAX_RELAYED_STATES = 8;
    /** Time for which the load of the servers is reported unchanged, milliseconds; computing it visits each server. */
    private static final long LOADS_VALID_MS = 250;
    /**
     * Maximum number of changes of the platform's store in a message. They are sent in the order of their revisions, so
     * that the recipient asks for the rest in the next round.
     */
    private static final int MAX_CHANGES = 400;
    /** Maximum time to wait for a response, milliseconds. */
    private static final long RESPONSE_TIMEOUT_MS = 800;

    /** Maximum size of a response, bytes. */
    private static final int MAX_RESPONSE_BYTES = 8 * 1_048_576;

    private static final int OK = 200;
    private static final HttpClient.SendOptions OPTIONS = new HttpClient.SendOptions(10_000, 400);

    private final GatewayCore core;
    private final JsonMapper mapper = JsonMapper.builder()
            .configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, false)
            .build();
    private final long incarnation = System.currentTimeMillis();
    private final RandomGenerator random = new SplittableRandom(incarnation);
    private Optional<StoreWatcher> store = Optional.empty();
    private long sequence;
    private int version = 1;
    private Flags lastFlags = new Flags(false, false, false, false, false);
    private Map<String, ServiceLoad> loads = Map.of();
    private long loadsUntilMs = Long.MIN_VALUE;
    private List<String> lastAlive = List.of();

    /** The part of the state of this instance whose changes have a version number. */
    private record Flags(
            boolean ready, boolean draining, boolean platformReachable, boolean followsReader, boolean behind) {}

    PeerGossip(GatewayCore core) {
        this.core = core;
    }

    void start(StoreWatcher storeWatcher) {
        store = Optional.of(storeWatcher);
        sendRound();
        core.scheduleWithFixedDelay(this::sendRound, ROUND_INTERVAL_MS);
    }

    /** Starts a round at once, because the state of this instance has changed. */
    void announce() {
        sendRound();
    }

    boolean isPeerMessage(HttpRequest request) {
        return request.uri().equals(PATH);
    }

    /** Applies a message of another instance and responds with one. */
    void handle(HttpRequest request, byte[] body, ResponseWriter to) {
        try {
            PeerMessage message = mapper.readValue(body, PeerMessage.class);
            PeerUpdate received = message.toPeerUpdate();
            applyMessage(message, received, false);
            byte[] reply = mapper.writeValueAsBytes(createResponse(message, received));
            HttpHeaders headers = new DefaultHttpHeaders().set("Content-Type", "application/json");
            to.sendHead(HttpResponseStatus.OK, headers, reply.length);
            to.sendContent(Unpooled.wrappedBuffer(reply));
            to.sendEnd();
        } catch (IOException | InvalidIdentifierException e) {
            core.log().notice("bad-peer-message", "reason", e.getMessage());
            ErrorResponses.send(to, HttpResponseStatus.BAD_REQUEST, "malformed peer message", new DefaultHttpHeaders());
        }
    }

    /** Returns the state of this instance without the load of its servers. */
    PeerState localState() {
        return localState(Map.of());
    }

    private PeerState localState(Map<String, ServiceLoad> services) {
        GatewaySettings settings = core.settings();
        Flags flags = new Flags(
                core.isReady(),
                core.isDraining(),
                isPlatformReachable(),
                store.map(StoreWatcher::isFollowing).orElse(false),
                core.lag().isBehind());
        if (!flags.equals(lastFlags)) {
            lastFlags = flags;
            version++;
            sequence++;
        }
        return new PeerState(
                settings.name(),
                incarnation,
                sequence,
                settings.region(),
                settings.zone(),
                settings.callerAddress(),
                settings.peerAddress(),
                flags.ready(),
                flags.draining(),
                core.catalog().version(),
                flags.platformReachable(),
                core.peers().knownInstances(),
                services,
                version,
                flags.followsReader(),
                flags.behind());
    }

    private boolean isPlatformReachable() {
        return store.map(StoreWatcher::isReachable).orElse(false);
    }

    /** Returns the load of the servers of this region, which only other regions use. */
    private Map<String, ServiceLoad> loadsFor(Optional<Region> remoteRegion) {
        if (remoteRegion.filter(core.settings().region()::equals).isPresent()) {
            return Map.of();
        }
        long nowMs = core.nowMs();
        if (nowMs >= loadsUntilMs) {
            loads = computeLoads(nowMs);
            loadsUntilMs = nowMs + LOADS_VALID_MS;
        }
        return loads;
    }

    private Map<String, ServiceLoad> computeLoads(long nowMs) {
        Map<String, ServiceLoad> services = new HashMap<>();
        for (String service : core.backends().services()) {
            core.backends()
                    .predictedResponseMs(service, core.coldRateShare(), nowMs)
                    .ifPresent(waitMs -> services.put(
                            service, new ServiceLoad(core.backends().freeSlots(service, nowMs), waitMs)));
        }
        return services;
    }

    private void sendRound() {
        List<CatalogEvent> expired = core.catalog().applyDeferredRemovals(core.nowMs());
        core.applyCatalogEvents(expired, "grace-over");
        sequence++;
        for (Address target : core.peers().targets(core.settings().seeds(), nextReader(), random, core.nowMs())) {
            send(target);
        }
        logMembershipChange();
    }

    /** Returns the reader of the zone to ask for changes in this round, alternately. */
    private Optional<Address> nextReader() {
        List<PeerState> readers = store.map(StoreWatcher::readers).orElse(List.of());
        return readers.isEmpty()
                ? Optional.empty()
                : Optional.of(readers.get((int) (sequence % readers.size())).peerAddress());
    }

    /**
     * Sends changes of the store to the instances of the zone that follow this one; their next round repeats losses.
     */
    void pushChanges(StoreVersion after) {
        List<CatalogItem> changes = core.catalog().changesAfter(after);
        if (changes.size() > MAX_CHANGES) {
            return;
        }
        PeerMessage message = createMessage(
                List.of(),
                changes,
                Optional.of(core.settings().region()),
                new PeerUpdate(List.of(), List.of(), List.of()),
                createFeed(after, completeVersion(), true),
                false);
        for (PeerState state : core.peers().alive(core.nowMs())) {
            if (state.zone().equals(core.settings().zone()) && state.followsReader()) {
                send(state.peerAddress(), message);
            }
        }
    }

    private StoreVersion completeVersion() {
        return store.map(StoreWatcher::completeVersion).orElse(StoreVersion.NONE);
    }

    private PeerMessage.Feed createFeed(StoreVersion after, StoreVersion upTo, boolean pushed) {
        return PeerMessage.Feed.of(
                after, upTo, core.catalog().historyFrom(), core.catalog().graceLeftMs(core.nowMs()), pushed);
    }

    private void send(Address target) {
        Optional<Region> region = core.peers().regionOf(target);
        PeerUpdate update = core.peers().request(region, random, core.nowMs());
        StoreVersion known = completeVersion();
        boolean wantsChanges =
                store.map(watcher -> watcher.asksForChanges(target)).orElse(false);
        PeerMessage.Feed feed = createFeed(known, known, false);
        send(target, createMessage(List.of(), List.of(), region, update, feed, wantsChanges));
    }

    private void send(Address target, PeerMessage message) {
        try {
            byte[] body = mapper.writeValueAsBytes(message);
            HttpRequest request = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, PATH);
            request.headers().set("Host", target.toString()).set("Content-Length", body.length);
            long sentMs = core.nowMs();
            new ResponseCollector(
                            core,
                            RESPONSE_TIMEOUT_MS,
                            MAX_RESPONSE_BYTES,
                            (status, answer) -> {
                                core.quotaService().recordContact(target, true);
                                onResponse(status, answer, message.wantsChanges(), core.nowMs() - sentMs);
                            },
                            failure -> onFailure(target, failure))
                    .send(new Endpoint("peer", target), request, Unpooled.wrappedBuffer(body), OPTIONS);
        } catch (IOException e) {
            core.log().notice("peer-message-unwritable", "reason", e.getMessage());
        }
    }

    /** An instance whose response can't be used is reachable, and a failure of this process says nothing about it. */
    private void onFailure(Address target, ResponseCollector.Failure failure) {
        if (failure instanceof ResponseCollector.Failure.NoResponse) {
            core.quotaService().recordContact(target, false);
            core.peers().markUnreachable(target, core.nowMs());
        } else {
            core.log().notice("peer-message-failed", "peer", target, "reason", failure.reason());
        }
    }

    private void onResponse(int status, byte[] body, boolean changesRequested, long tookMs) {
        if (status != OK) {
            core.log().notice("peer-answered", "status", status);
            return;
        }
        try {
            PeerMessage message = mapper.readValue(body, PeerMessage.class);
            boolean hasAllChanges = changesRequested && message.changes().size() < MAX_CHANGES;
            applyMessage(message, message.toPeerUpdate(), hasAllChanges);
            core.peers().recordRoundTrip(message.sender().toPeerState().region(), tookMs);
        } catch (IOException | InvalidIdentifierException e) {
            core.log().notice("bad-peer-message", "reason", e.getMessage());
        }
    }

    private void applyMessage(PeerMessage message, PeerUpdate update, boolean hasAllChanges) {
        long nowMs = core.nowMs();
        PeerState sender = message.sender().toPeerState();
        core.peers().update(new RelayedState(sender, 0), nowMs);
        core.peers().apply(update, nowMs);
        core.crashGuard().merge(message.promptPartUpdate(), message.requestUpdate());
        for (PeerMessage.Leaving server : message.leaving()) {
            core.serverSignals().recordLeaving(server.toLeavingServer(), "peer");
        }
        if (message.feed() != null && sender.platformReachable()) {
            core.catalog().extendGracePeriod(message.feed().graceMs(), nowMs);
        }
        List<CatalogEvent> events = store.map(watcher -> watcher.applyPeerMessage(sender, message))
                .orElseGet(() -> core.catalog().apply(message.items(), nowMs));
        core.confirmation().recordMessage(sender, hasAllChanges, core.catalog().version(), nowMs);
        if (!message.changes().isEmpty()) {
            core.applyCatalogEvents(events, "peer");
            core.markServersKnown();
        }
    }

    private PeerMessage createResponse(PeerMessage request, PeerUpdate received) {
        StoreVersion requested = request.knownVersion();
        // The recipient can't tell what an era lacks from a part of its state.
        boolean wholeEra = requested.era() < core.catalog().version().era();
        List<CatalogItem> changes =
                request.wantsChanges() && core.catalog().version().isAfter(requested)
                        ? core.catalog().changesAfter(requested).stream()
                                .sorted(Comparator.comparing(CatalogItem::version))
                                .limit(wholeEra ? Long.MAX_VALUE : MAX_CHANGES)
                                .toList()
                        : List.of();
        boolean isCut = !wholeEra && changes.size() == MAX_CHANGES;
        StoreVersion known = completeVersion();
        PeerMessage.Feed feed = request.wantsChanges()
                ? createFeed(requested, isCut ? changes.getLast().version().previous() : known, false)
                : createFeed(known, known, false);
        PeerState sender = request.sender().toPeerState();
        Optional<Region> region = Optional.of(sender.region());
        List<RelayedState> others = request.heartbeats() != null
                ? List.of()
                : core.peers().statesToRelay(region, MAX_RELAYED_STATES, random, core.nowMs());
        boolean asksNothing = request.heartbeats() == null
                || (request.feed() != null && request.feed().pushed());
        PeerUpdate update = asksNothing
                ? new PeerUpdate(List.of(), List.of(), List.of())
                : core.peers().response(sender.id(), sender.region(), received.heartbeats(), random, core.nowMs());
        return createMessage(others, changes, region, update, feed, false);
    }

    private PeerMessage createMessage(
            List<RelayedState> others,
            List<CatalogItem> changes,
            Optional<Region> remoteRegion,
            PeerUpdate update,
            PeerMessage.Feed feed,
            boolean wantsChanges) {
        CrashUpdate promptParts = core.crashGuard().promptPartsFor(remoteRegion);
        CrashUpdate requests = core.crashGuard().requestsFor(remoteRegion);
        StoreVersion known = store.map(StoreWatcher::knownVersion)
                .orElseGet(() -> core.catalog().version());
        return new PeerMessage(
                PeerMessage.State.of(localState(loadsFor(remoteRegion))),
                others.stream().map(PeerMessage.AgedState::of).toList(),
                known.revision(),
                wantsChanges,
                changes.stream().map(PeerMessage.Change::of).toList(),
                promptParts.marks().stream().map(PeerMessage.Mark::of).toList(),
                promptParts.proofs().stream().map(PeerMessage.Proof::of).toList(),
                requests.marks().stream().map(PeerMessage.Mark::of).toList(),
                requests.proofs().stream().map(PeerMessage.Proof::of).toList(),
                leavingServersFor(remoteRegion),
                update.states().stream().map(PeerMessage.CompactState::of).toList(),
                HeartbeatText.encode(update.heartbeats()),
                update.loads().stream().map(PeerMessage.Load::of).toList(),
                feed);
    }

    /** Servers without a start time are left out: their next incarnation would be excluded as well. */
    private List<PeerMessage.Leaving> leavingServersFor(Optional<Region> remoteRegion) {
        if (remoteRegion.filter(core.settings().region()::equals).isEmpty()) {
            return List.of();
        }
        return core.backends().leavingServers().stream()
                .filter(server -> server.startedMs().isPresent())
                .map(server -> new PeerMessage.Leaving(
                        server.id().name(), server.startedMs().getAsLong()))
                .toList();
    }

    private void logMembershipChange() {
        List<String> alive = core.peers().alive(core.nowMs()).stream()
                .map(state -> state.id().name())
                .toList();
        if (!alive.equals(lastAlive)) {
            core.log().notice("peers", "alive", alive, "silentMs", PeerTable.STALE_STATE_MS);
            lastAlive = alive;
        }
    }
}
