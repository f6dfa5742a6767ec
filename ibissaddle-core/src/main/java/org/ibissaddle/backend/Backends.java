package org.ibissaddle.backend;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.ibissaddle.catalog.Fact;
import org.ibissaddle.catalog.ServerEntry;
import org.ibissaddle.id.Region;
import org.ibissaddle.id.ServerId;
import org.ibissaddle.id.Zone;
import org.ibissaddle.route.EngineSpec;
import org.ibissaddle.route.Mixing;
import org.ibissaddle.route.ServiceSpec;

/** The backend servers of the own region, and the choice among them. Confined to one thread. */
public final class Backends {
    /** Share of the pace that a cold server bears which the instances of a region use together. */
    private static final double COLD_SHARE = 0.8;
    /** Share of an engine's memory that requests in flight may fill; the rest keeps shared parts of prompts. */
    private static final double MEMORY_SHARE = 0.85;
    /** Part of the unread shared tokens that the preferred server of a prompt presumably has from another instance. */
    private static final double OWNER_DISCOUNT = 0.5;
    /** Prompt tokens that a running request costs the others, as a weight between load and prefill. */
    private static final double TOKENS_PER_RUNNING = 60;
    /** Unread prompts that an engine is sent at most, milliseconds of reading; the rest waits here, in order. */
    private static final double MAX_BACKLOG_MS = 1_000;
    /** Events of a middling answer, by which the regions are compared. */
    private static final int TYPICAL_EVENTS = 10;

    private final Region region;
    private final Map<Zone, Region> regions;
    private final Map<ServerId, BackendServer> servers = new HashMap<>();
    private final Map<String, List<BackendServer>> byService = new HashMap<>();
    private final Map<ServerId, ServerEntry> elsewhere = new HashMap<>();
    private final Set<Zone> evacuated = new HashSet<>();
    private final Map<String, EngineSpeed> speeds = new HashMap<>();
    private Map<String, ServiceSpec> specs = Map.of();

    /**
     * Makes an empty set.
     *
     * @param region the own region
     * @param regions region of each zone
     */
    public Backends(Region region, Map<Zone, Region> regions) {
        this.region = region;
        this.regions = Map.copyOf(regions);
    }

    /**
     * Takes in a change of the catalog.
     *
     * @param fact the change
     * @param nowMs current time, milliseconds
     */
    public void learn(Fact fact, long nowMs) {
        switch (fact) {
            case Fact.ServerPublished published -> publish(published.entry(), nowMs);
            case Fact.ServerRemoved removed -> remove(removed.id());
            case Fact.EvacuationRequested requested -> evacuated.add(requested.zone());
            case Fact.EvacuationWithdrawn withdrawn -> returnZone(withdrawn.zone(), nowMs);
            case Fact.ConfigurationPublished published ->
                specs = published.configuration().services();
            case Fact.Unreadable ignored -> {}
            case Fact.Unrelated ignored -> {}
        }
    }

    /**
     * Finds a server.
     *
     * @param id its id
     * @return the server, empty when it isn't published in the own region
     */
    public Optional<BackendServer> server(ServerId id) {
        return Optional.ofNullable(servers.get(id));
    }

    /**
     * Returns all servers of the own region.
     *
     * @return the servers
     */
    public Collection<BackendServer> all() {
        return servers.values();
    }

    /**
     * Tells whether new requests may go to a server.
     *
     * @param server the server
     * @return whether it is published, stays, and its zone isn't evacuated
     */
    public boolean isEligible(BackendServer server) {
        ServerEntry entry = server.entry();
        return servers.get(entry.id()) == server && !entry.draining() && !evacuated.contains(entry.zone());
    }

    /**
     * Chooses a server for a request.
     *
     * @param service the service
     * @param work what the request asks for
     * @param tried servers that have had it
     * @param sharers instances that send to the servers of this region, this one included
     * @param nowMs current time, milliseconds
     * @return the choice
     */
    public Choice choose(String service, Work work, Set<ServerId> tried, int sharers, long nowMs) {
        List<BackendServer> eligible = new ArrayList<>();
        for (BackendServer server : byService.getOrDefault(service, List.of())) {
            if (isEligible(server) && !tried.contains(server.entry().id())) {
                eligible.add(server);
            }
        }
        if (eligible.isEmpty()) {
            return new Choice.Absent("no server of service " + service + " in region " + region);
        }
        List<BackendServer> sound = eligible.stream()
                .filter(server -> !server.isUnproven() && !server.isEjected(nowMs))
                .toList();
        List<BackendServer> candidates = sound.isEmpty()
                ? eligible.stream().filter(server -> !server.isUnproven()).toList()
                : sound;
        if (candidates.isEmpty()) {
            return new Choice.Busy("health of every server is being checked");
        }
        return best(service, work, candidates, sharers, nowMs);
    }

    /**
     * Returns requests that the servers of a service could take on at once.
     *
     * @param service the service
     * @param nowMs current time, milliseconds
     * @return free slots
     */
    public int freeSlots(String service, long nowMs) {
        int free = 0;
        for (BackendServer server : byService.getOrDefault(service, List.of())) {
            if (isEligible(server) && !server.isUnproven() && !server.isEjected(nowMs) && !server.isCold(nowMs)) {
                free += Math.max(0, server.entry().slots() - server.estimatedLoad(nowMs));
            }
        }
        return free;
    }

    /**
     * Returns how many requests the servers of a service run at once.
     *
     * @param service the service
     * @return slots of the servers that may get requests
     */
    public int slots(String service) {
        int slots = 0;
        for (BackendServer server : byService.getOrDefault(service, List.of())) {
            slots += isEligible(server) ? server.entry().slots() : 0;
        }
        return slots;
    }

    /**
     * Predicts how long a middling answer of a service takes.
     *
     * @param service the service
     * @param nowMs current time, milliseconds
     * @return predicted wait in milliseconds, empty when no server can be used
     */
    public Optional<Long> waitMs(String service, long nowMs) {
        int stride = spec(service)
                .flatMap(ServiceSpec::engine)
                .map(EngineSpec::tokensPerEvent)
                .orElse(1);
        Work typical = new Work("", 0, TYPICAL_EVENTS * stride, List.of());
        Choice choice = choose(service, typical, Set.of(), 1, nowMs);
        return choice instanceof Choice.Found found ? Optional.of(found.waitMs()) : Optional.empty();
    }

    /**
     * Returns the services that have servers here.
     *
     * @return names
     */
    public Set<String> services() {
        return Set.copyOf(byService.keySet());
    }

    /**
     * Returns the operator's words on a service.
     *
     * @param service its name
     * @return empty when it isn't declared
     */
    public Optional<ServiceSpec> spec(String service) {
        return Optional.ofNullable(specs.get(service));
    }

    /**
     * Learns how fast the servers of a service read prompts.
     *
     * @param service the service
     * @param tokens tokens that were read before the first piece
     * @param tookMs time to the first piece, milliseconds
     */
    public void observedFirstPiece(String service, long tokens, long tookMs) {
        speed(service).observe(tokens, tookMs);
    }

    /**
     * Learns how fast the servers of a service make events.
     *
     * @param server the server
     * @param gapMs pause between two events of a stream, milliseconds
     * @param nowMs current time, milliseconds
     */
    public void observedGap(BackendServer server, long gapMs, long nowMs) {
        server.observedGap(gapMs, nowMs);
        speed(server.entry().service()).observeGap((double) gapMs);
    }

    /**
     * Predicts how long a server of a service takes to read tokens that it doesn't keep.
     *
     * @param service the service
     * @param tokens prompt tokens
     * @return milliseconds
     */
    public long readMs(String service, int tokens) {
        EngineSpeed speed = speeds.get(service);
        return speed == null ? 0 : Math.round(speed.readMs(tokens));
    }

    private EngineSpeed speed(String service) {
        return speeds.computeIfAbsent(service, name -> new EngineSpeed());
    }

    private Choice best(String service, Work work, List<BackendServer> candidates, int sharers, long nowMs) {
        Optional<EngineSpec> engine = spec(service).flatMap(ServiceSpec::engine);
        double coldRate =
                COLD_SHARE * spec(service).map(ServiceSpec::coldPerSecond).orElse(0.0) / Math.max(1, sharers);
        BackendServer owner = work.prefix().isEmpty() ? null : owner(work, candidates);
        Optional<BackendServer> source =
                engine.filter(EngineSpec::copiesCache).flatMap(any -> cacheSource(service, work));
        EngineSpeed speed = speed(service);
        BackendServer best = null;
        double bestCost = Double.MAX_VALUE;
        for (BackendServer server : candidates) {
            boolean full = server.estimatedLoad(nowMs) >= server.entry().slots();
            boolean tooCold = server.isCold(nowMs) && !server.isColdPaceOpen(coldRate, nowMs);
            boolean tooMuchUnread =
                    engine.isPresent() && speed.readMs((double) server.backlogTokens()) > MAX_BACKLOG_MS;
            if (full || tooCold || tooMuchUnread || !fits(server, work, engine)) {
                continue;
            }
            double cost = cost(server, work, server == owner, source, engine, speed, nowMs);
            if (cost < bestCost) {
                best = server;
                bestCost = cost;
            }
        }
        if (best == null) {
            return new Choice.Busy("all servers of service " + service + " are full or cold");
        }
        long waitMs = engine.isPresent() ? Math.round(wait(best, work, speed, nowMs)) : 0;
        BackendServer chosen = best;
        return new Choice.Found(best, waitMs, source.filter(from -> chosen.tokensToCopy(work, from) > 0));
    }

    /** The server of the region that has read most of a prompt. */
    private Optional<BackendServer> cacheSource(String service, Work work) {
        BackendServer source = null;
        int most = 0;
        for (BackendServer server : byService.getOrDefault(service, List.of())) {
            int tokens = server.copyableTokens(work);
            if (tokens > most && isEligible(server) && !server.isUnproven()) {
                source = server;
                most = tokens;
            }
        }
        return Optional.ofNullable(source);
    }

    /** Time that a middling answer would take at a server, after its prompt has been read, milliseconds. */
    private static double wait(BackendServer server, Work work, EngineSpeed speed, long nowMs) {
        double unread = (double) server.backlogTokens() + server.missingTokens(work);
        return speed.readMs(unread) + TYPICAL_EVENTS * server.expectedGapMs(speed.quietGapMs(), nowMs);
    }

    /** Delay that a request would meet and cause at a server, milliseconds; the lower, the better. */
    private static double cost(
            BackendServer server,
            Work work,
            boolean isOwner,
            Optional<BackendServer> source,
            Optional<EngineSpec> engine,
            EngineSpeed speed,
            long nowMs) {
        int load = server.estimatedLoad(nowMs);
        if (engine.isEmpty()) {
            return (double) (load + 1) / Math.max(1, server.entry().slots());
        }
        int copied = source.map(from -> server.tokensToCopy(work, from)).orElse(0);
        int unreadShared = Math.max(0, work.sharedTokens() - server.keptTokens(work) - copied);
        double missing = server.missingTokens(work) - copied - (isOwner ? unreadShared * OWNER_DISCOUNT : 0);
        double copyMs = copied == 0 ? 0 : engine.get().copyMs(copied);
        return copyMs + speed.readMs(server.backlogTokens() + missing + load * TOKENS_PER_RUNNING);
    }

    private static boolean fits(BackendServer server, Work work, Optional<EngineSpec> engine) {
        if (engine.isEmpty() || server.inFlight() == 0) {
            return true;
        }
        long held = server.heldTokens() + server.missingTokens(work) + work.outputTokens();
        return held <= engine.get().kvTokens() * MEMORY_SHARE;
    }

    /**
     * Finds the region whose servers should read the shared parts of a prompt, so that they are read once for all
     * regions. All instances that know the same servers find the same one.
     *
     * @param service the service
     * @param work the request
     * @param allowed regions that may serve it; empty when all may
     * @return the region, empty when the prompt has no parts or no server is known
     */
    public Optional<Region> owningRegion(String service, Work work, Set<Region> allowed) {
        if (work.prefix().isEmpty()) {
            return Optional.empty();
        }
        List<ServerEntry> candidates = new ArrayList<>();
        for (BackendServer server : byService.getOrDefault(service, List.of())) {
            candidates.add(server.entry());
        }
        for (ServerEntry entry : elsewhere.values()) {
            if (entry.service().equals(service)) {
                candidates.add(entry);
            }
        }
        candidates.removeIf(entry -> entry.draining()
                || evacuated.contains(entry.zone())
                || !(allowed.isEmpty() || allowed.contains(regions.get(entry.zone()))));
        return candidates.stream()
                .max(Comparator.comparingLong(entry -> ownership(work, entry.id())))
                .map(entry -> regions.get(entry.zone()));
    }

    /**
     * Predicts the time that the servers of the own region would spend on shared parts that none of them keeps.
     *
     * @param service the service
     * @param work the request
     * @return milliseconds; 0 when one of them keeps all shared parts
     */
    public long unsharedReadMs(String service, Work work) {
        int known = 0;
        for (BackendServer server : byService.getOrDefault(service, List.of())) {
            known = Math.max(known, isEligible(server) ? server.keptTokens(work) : 0);
        }
        return Math.round(speed(service).readMs((double) Math.max(0, work.sharedTokens() - known)));
    }

    /** The server that all instances prefer for a prompt: the highest rendezvous hash of its first part. */
    private static BackendServer owner(Work work, List<BackendServer> candidates) {
        return Collections.max(
                candidates,
                Comparator.comparingLong(
                        server -> ownership(work, server.entry().id())));
    }

    private static long ownership(Work work, ServerId server) {
        long part = work.prefix().getFirst().id().hashCode();
        return Mixing.mix(part * 31 + server.name().hashCode());
    }

    private void publish(ServerEntry entry, long nowMs) {
        if (!region.equals(regions.get(entry.zone()))) {
            remove(entry.id());
            elsewhere.put(entry.id(), entry);
            return;
        }
        elsewhere.remove(entry.id());
        BackendServer known = servers.get(entry.id());
        if (known != null && !known.entry().service().equals(entry.service())) {
            remove(entry.id());
            known = null;
        }
        if (known != null) {
            known.update(entry, coldMs(entry.service()), nowMs);
            return;
        }
        BackendServer server = new BackendServer(entry, nowMs);
        servers.put(entry.id(), server);
        byService.computeIfAbsent(entry.service(), name -> new ArrayList<>()).add(server);
    }

    private void remove(ServerId id) {
        elsewhere.remove(id);
        BackendServer gone = servers.remove(id);
        if (gone == null) {
            return;
        }
        List<BackendServer> siblings = byService.get(gone.entry().service());
        siblings.remove(gone);
        if (siblings.isEmpty()) {
            byService.remove(gone.entry().service());
        }
    }

    private void returnZone(Zone zone, long nowMs) {
        evacuated.remove(zone);
        for (BackendServer server : servers.values()) {
            if (server.entry().zone().equals(zone)) {
                server.proven(coldMs(server.entry().service()), nowMs);
            }
        }
    }

    private long coldMs(String service) {
        return spec(service).map(ServiceSpec::coldMs).orElse(0L);
    }
}
