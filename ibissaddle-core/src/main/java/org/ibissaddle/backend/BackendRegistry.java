package org.ibissaddle.backend;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.ibissaddle.catalog.CatalogEvent;
import org.ibissaddle.catalog.ServerEntry;
import org.ibissaddle.id.Region;
import org.ibissaddle.id.ServerId;
import org.ibissaddle.id.Zone;
import org.ibissaddle.route.EngineSpec;
import org.ibissaddle.route.ServiceSpec;

/** Tracks the backend servers of the local region and selects servers for requests. Confined to one thread. */
public final class BackendRegistry {
    /** Maximum number of leaving servers that are remembered; the oldest are forgotten first. */
    private static final int MAX_LEAVING_SERVERS = 4_096;

    private final Region region;
    private final Map<Zone, Region> regions;
    private final Map<ServerId, BackendServer> servers = new HashMap<>();
    private final Map<String, List<BackendServer>> byService = new HashMap<>();
    private final Map<ServerId, ServerEntry> otherRegionServers = new HashMap<>();
    private final Set<Zone> evacuated = new HashSet<>();
    private final Set<LeavingServer> leaving = new LinkedHashSet<>();
    private final Map<String, EngineSpeedEstimate> speedsByService = new HashMap<>();
    private final ServerSelector selector;
    private final EnginePriorities enginePriorities = new EnginePriorities();
    private Map<String, ServiceSpec> specs = Map.of();

    /**
     * Creates an instance without servers that always selects the server with the lowest cost.
     *
     * @param region the local region
     * @param regions region of each availability zone
     */
    public BackendRegistry(Region region, Map<Zone, Region> regions) {
        this(region, regions, Optional.empty());
    }

    /**
     * Creates an instance without servers that chooses at random among servers of nearly equal cost, so that many
     * instances with the same information do not all select the same one.
     *
     * @param region the local region
     * @param regions region of each availability zone
     * @param random source of randomness
     */
    public BackendRegistry(Region region, Map<Zone, Region> regions, RandomGenerator random) {
        this(region, regions, Optional.of(random));
    }

    private BackendRegistry(Region region, Map<Zone, Region> regions, Optional<RandomGenerator> random) {
        this.region = region;
        this.regions = Map.copyOf(regions);
        this.selector = new ServerSelector(region, random);
    }

    /**
     * Applies a catalog change.
     *
     * @param event the change
     * @param nowMs current time in milliseconds
     */
    public void apply(CatalogEvent event, long nowMs) {
        switch (event) {
            case CatalogEvent.ServerPublished published -> addOrUpdate(published.entry(), nowMs);
            case CatalogEvent.ServerRemoved removed -> remove(removed.id());
            case CatalogEvent.EvacuationRequested requested -> evacuated.add(requested.zone());
            case CatalogEvent.EvacuationWithdrawn withdrawn -> endEvacuation(withdrawn.zone(), nowMs);
            case CatalogEvent.ConfigurationPublished published -> {
                specs = published.configuration().services();
                enginePriorities.configure(published.configuration());
            }
            case CatalogEvent.Malformed ignored -> {}
            case CatalogEvent.Ignored ignored -> {}
        }
    }

    /**
     * Returns a server by id.
     *
     * @param id id of the server
     * @return the server, empty if it is not published in the local region
     */
    public Optional<BackendServer> server(ServerId id) {
        return Optional.ofNullable(servers.get(id));
    }

    /**
     * Returns all servers of the local region.
     *
     * @return the servers
     */
    public Collection<BackendServer> all() {
        return servers.values();
    }

    /**
     * Returns whether a server may receive new requests.
     *
     * @param server the server
     * @return true if the server is published, neither draining nor leaving, and not in an evacuated availability zone
     */
    public boolean isEligible(BackendServer server) {
        ServerEntry entry = server.entry();
        return servers.get(entry.id()) == server
                && !entry.draining()
                && !evacuated.contains(entry.zone())
                && !isLeaving(entry);
    }

    /**
     * Records that a server has announced in a response that it is leaving. It is excluded from selection until its
     * next incarnation, even if it is still published as ready.
     *
     * @param server the incarnation of the server
     * @return true if this was not known
     */
    public boolean markLeaving(LeavingServer server) {
        if (!leaving.add(server)) {
            return false;
        }
        if (leaving.size() > MAX_LEAVING_SERVERS) {
            leaving.remove(leaving.iterator().next());
        }
        return true;
    }

    /**
     * Returns the published servers of the local region that have announced that they are leaving.
     *
     * @return the incarnations
     */
    public List<LeavingServer> leavingServers() {
        return leaving.isEmpty()
                ? List.of()
                : servers.values().stream()
                        .map(server -> LeavingServer.of(server.entry()))
                        .filter(leaving::contains)
                        .toList();
    }

    private boolean isLeaving(ServerEntry entry) {
        return !leaving.isEmpty() && leaving.contains(LeavingServer.of(entry));
    }

    /**
     * Returns when a service can be used again whose eligible servers have all requested not to receive requests.
     *
     * @param service the service
     * @param nowMs current time in milliseconds
     * @return time in milliseconds at which the first period ends; empty if the service has no eligible server or one
     *     that accepts requests
     */
    public OptionalLong heldOffUntilMs(String service, long nowMs) {
        return earliestEnd(eligibleServers(service), nowMs);
    }

    private static OptionalLong earliestEnd(List<BackendServer> servers, long nowMs) {
        long earliestMs = Long.MAX_VALUE;
        for (BackendServer server : servers) {
            if (!server.isHeldOff(nowMs)) {
                return OptionalLong.empty();
            }
            earliestMs = Math.min(earliestMs, server.heldOffUntilMs());
        }
        return servers.isEmpty() ? OptionalLong.empty() : OptionalLong.of(earliestMs);
    }

    private List<BackendServer> eligibleServers(String service) {
        List<BackendServer> eligible = new ArrayList<>();
        for (BackendServer server : byService.getOrDefault(service, List.of())) {
            if (isEligible(server)) {
                eligible.add(server);
            }
        }
        return eligible;
    }

    /**
     * Selects a server for a request.
     *
     * @param service the service
     * @param demand resources that the request needs
     * @param tried servers to which the request was already sent
     * @param coldRateShare the share of this instance in the request rate of each cold server
     * @param nowMs current time in milliseconds
     * @return the result of the selection
     */
    public ServerSelectionResult selectServer(
            String service, RequestDemand demand, Set<ServerId> tried, ColdRateShare coldRateShare, long nowMs) {
        return selectServer(service, demand, RequestTerms.NONE, tried, coldRateShare, nowMs);
    }

    /**
     * Selects a server for a request with an objective. A long prompt is held for a time if short ones would have to
     * wait too long behind it.
     *
     * @param service the service
     * @param demand resources that the request needs
     * @param terms priority and objective of the request
     * @param tried servers to which the request was already sent
     * @param coldRateShare the share of this instance in the request rate of each cold server
     * @param nowMs current time in milliseconds
     * @return the result of the selection
     */
    public ServerSelectionResult selectServer(
            String service,
            RequestDemand demand,
            RequestTerms terms,
            Set<ServerId> tried,
            ColdRateShare coldRateShare,
            long nowMs) {
        List<BackendServer> eligible = new ArrayList<>();
        for (BackendServer server : byService.getOrDefault(service, List.of())) {
            if (isEligible(server) && !tried.contains(server.entry().id())) {
                eligible.add(server);
            }
        }
        if (eligible.isEmpty()) {
            return new ServerSelectionResult.NoServer("no server of service " + service + " in region " + region);
        }
        OptionalLong heldOffUntilMs = earliestEnd(eligible, nowMs);
        if (heldOffUntilMs.isPresent()) {
            return new ServerSelectionResult.HeldOff(
                    heldOffUntilMs.getAsLong(),
                    "every server of service " + service + " in region " + region + " has requested a pause");
        }
        eligible.removeIf(server -> server.isHealthCheckPending() || server.isHeldOff(nowMs));
        if (eligible.isEmpty()) {
            return new ServerSelectionResult.AtCapacity("every server of service " + service + " in region " + region
                    + " is waiting for a health check or has requested a pause");
        }
        Optional<BackendServer> source = serviceSpec(service)
                .flatMap(ServiceSpec::engine)
                .filter(EngineSpec::copiesCache)
                .flatMap(spec -> cacheSource(service, demand));
        return selector.select(
                eligible,
                new ServerSelector.Request(service, serviceSpec(service), demand, terms, source),
                speed(service),
                coldRateShare,
                nowMs);
    }

    /**
     * Returns the priority of a request at an engine. Short prompts come before long ones of the same priority, as far
     * as the configuration leaves values between its priorities.
     *
     * @param terms priority and objective of the request
     * @param uncachedTokens number of tokens to prefill
     * @param nowMs current time in milliseconds
     * @return 0 (first) to 9 (last)
     */
    public int enginePriority(RequestTerms terms, int uncachedTokens, long nowMs) {
        return enginePriorities.of(terms, uncachedTokens, nowMs);
    }

    /**
     * Returns how many more requests the healthy, warm servers of a service can accept.
     *
     * @param service the service
     * @param nowMs current time in milliseconds
     * @return number of free slots
     */
    public int freeSlots(String service, long nowMs) {
        int free = 0;
        for (BackendServer server : byService.getOrDefault(service, List.of())) {
            if (isEligible(server)
                    && !server.isHealthCheckPending()
                    && !server.isEjected(nowMs)
                    && !server.isHeldOff(nowMs)
                    && !server.isCold(nowMs)) {
                free += Math.max(0, server.entry().slots() - server.estimatedLoad(nowMs));
            }
        }
        return free;
    }

    /**
     * Returns how many requests the eligible servers of a service can run concurrently.
     *
     * @param service the service
     * @return total number of slots
     */
    public int slots(String service) {
        int slots = 0;
        for (BackendServer server : byService.getOrDefault(service, List.of())) {
            slots += isEligible(server) ? server.entry().slots() : 0;
        }
        return slots;
    }

    /**
     * Predicts how long a typical response of a service takes.
     *
     * @param service the service
     * @param coldRateShare the share of this instance in the request rate of each cold server
     * @param nowMs current time in milliseconds
     * @return predicted wait in milliseconds, empty if no server can accept a request
     */
    public Optional<Long> predictedResponseMs(String service, ColdRateShare coldRateShare, long nowMs) {
        int stride = serviceSpec(service)
                .flatMap(ServiceSpec::engine)
                .map(EngineSpec::tokensPerEvent)
                .orElse(1);
        RequestDemand typical = new RequestDemand("", 0, ServerSelector.TYPICAL_RESPONSE_EVENTS * stride, List.of());
        ServerSelectionResult result = selectServer(service, typical, Set.of(), coldRateShare, nowMs);
        return result instanceof ServerSelectionResult.Selected found ? Optional.of(found.waitMs()) : Optional.empty();
    }

    /**
     * Returns the services that have servers in the local region.
     *
     * @return names of the services
     */
    public Set<String> services() {
        return Set.copyOf(byService.keySet());
    }

    /**
     * Returns the configuration of a service.
     *
     * @param service name of the service
     * @return the configuration, empty if the service is not declared
     */
    public Optional<ServiceSpec> serviceSpec(String service) {
        return Optional.ofNullable(specs.get(service));
    }

    /**
     * Updates the estimated prefill speed of a service.
     *
     * @param service the service
     * @param tokens number of tokens prefilled before the first chunk of the response
     * @param tookMs time to the first chunk in milliseconds
     */
    public void recordFirstChunk(String service, long tokens, long tookMs) {
        speed(service).observePrefill(tokens, tookMs);
    }

    /**
     * Updates the estimated speeds of a server and of its service with the first part of a response: for a plain
     * service the response time, for an engine the time to the first event.
     *
     * @param request the request
     * @param tookMs time from sending the request to the first part of the response in milliseconds
     * @param nowMs current time in milliseconds
     */
    public void recordFirstChunk(BackendServer.RequestHandle request, long tookMs, long nowMs) {
        BackendServer server = request.server();
        EngineSpeedEstimate service = speed(server.entry().service());
        OptionalDouble expectedMs = service.firstEventMs(request.tokensAhead());
        double reportedSlowdown = server.speed().reportedSlowdown(selector.slowdownDecayMs(), nowMs);
        if (expectedMs.isPresent()) {
            server.speed()
                    .observeFirstEvent((double) tookMs, expectedMs.getAsDouble(), selector.slowdownDecayMs(), nowMs);
        }
        server.recordProgress(nowMs);
        // The estimate of the service is that of a server at its usual speed.
        service.observePrefill(request.tokensAhead(), Math.round(tookMs / reportedSlowdown));
    }

    /**
     * Updates the estimated time between events of a server and of its service.
     *
     * @param server the server
     * @param gapMs time between two events of a stream in milliseconds
     * @param nowMs current time in milliseconds
     */
    public void recordEventGap(BackendServer server, long gapMs, long nowMs) {
        EngineSpeedEstimate service = speed(server.entry().service());
        OptionalDouble typicalGapMs = service.typicalGapMs();
        if (typicalGapMs.isPresent()) {
            server.speed().observeGap((double) gapMs, typicalGapMs.getAsDouble(), selector.slowdownDecayMs(), nowMs);
        }
        server.recordEventGap(gapMs, nowMs);
        service.observeGap((double) gapMs);
    }

    /**
     * Returns how much longer work currently takes on a server than on a typical server of its service, estimated from
     * its reports and from observations. A server whose requests make no progress is slow whatever it reports.
     *
     * @param server the server
     * @param nowMs current time in milliseconds
     * @return 1 for the usual speed, 2 for half of it
     */
    public double slowdown(BackendServer server, long nowMs) {
        return selector.slowdown(server, speed(server.entry().service()), nowMs);
    }

    /**
     * Estimates the cost of a request at the server of the local region that has cached most of its prompt.
     *
     * @param service the service
     * @param demand the request
     * @return the cost
     */
    public RequestCost requestCost(String service, RequestDemand demand) {
        int cachedTokens = 0;
        for (BackendServer server : byService.getOrDefault(service, List.of())) {
            cachedTokens = Math.max(cachedTokens, isEligible(server) ? server.cachedTokens(demand) : 0);
        }
        return RequestCost.of(demand, cachedTokens);
    }

    /**
     * Predicts the prefill time of uncached tokens.
     *
     * @param service the service
     * @param tokens number of prompt tokens
     * @return time in milliseconds, 0 if the speed of the service is unknown
     */
    public long prefillMs(String service, int tokens) {
        EngineSpeedEstimate speed = speedsByService.get(service);
        return speed == null ? 0 : Math.round(speed.prefillMs(tokens));
    }

    EngineSpeedEstimate speed(String service) {
        return speedsByService.computeIfAbsent(service, name -> new EngineSpeedEstimate());
    }

    /** Returns the server of the region that has prefilled the longest prefix of a prompt. */
    private Optional<BackendServer> cacheSource(String service, RequestDemand demand) {
        BackendServer source = null;
        int maxTokens = 0;
        for (BackendServer server : byService.getOrDefault(service, List.of())) {
            int tokens = server.copyableTokens(demand);
            if (tokens > maxTokens && isEligible(server) && !server.isHealthCheckPending()) {
                source = server;
                maxTokens = tokens;
            }
        }
        return Optional.ofNullable(source);
    }

    /**
     * Returns the region that should prefill the shared parts of a prompt, so that only one region prefills them. All
     * instances that know the same servers compute the same region.
     *
     * @param service the service
     * @param demand the request
     * @param allowed regions that may serve the request, empty for all
     * @return the region, empty if the prompt has no parts or no allowed region has an eligible server
     */
    public Optional<Region> preferredRegion(String service, RequestDemand demand, Set<Region> allowed) {
        if (demand.promptParts().isEmpty()) {
            return Optional.empty();
        }
        List<ServerEntry> candidates = new ArrayList<>();
        for (BackendServer server : byService.getOrDefault(service, List.of())) {
            candidates.add(server.entry());
        }
        for (ServerEntry entry : otherRegionServers.values()) {
            if (entry.service().equals(service)) {
                candidates.add(entry);
            }
        }
        candidates.removeIf(entry -> entry.draining()
                || !regions.containsKey(entry.zone())
                || evacuated.contains(entry.zone())
                || !(allowed.isEmpty() || allowed.contains(regions.get(entry.zone()))));
        return candidates.stream()
                .max(Comparator.comparingLong(entry -> ServerSelector.rendezvousHash(demand, entry.id())))
                .map(entry -> regions.get(entry.zone()));
    }

    /**
     * Predicts the prefill time of the shared prompt tokens that no server of the local region has cached.
     *
     * @param service the service
     * @param demand the request
     * @return time in milliseconds, 0 if one server has cached all shared parts
     */
    public long uncachedSharedPrefillMs(String service, RequestDemand demand) {
        int cachedTokens = demand.promptTokens() - requestCost(service, demand).prefillTokens();
        return Math.round(speed(service).prefillMs((double) Math.max(0, demand.sharedTokens() - cachedTokens)));
    }

    private void addOrUpdate(ServerEntry entry, long nowMs) {
        if (!region.equals(regions.get(entry.zone()))) {
            remove(entry.id());
            otherRegionServers.put(entry.id(), entry);
            return;
        }
        otherRegionServers.remove(entry.id());
        BackendServer known = servers.get(entry.id());
        if (known != null && !known.entry().service().equals(entry.service())) {
            remove(entry.id());
            known = null;
        }
        if (known != null && !known.entry().address().equals(entry.address())) {
            forgetUnknownIncarnation(entry.id());
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
        otherRegionServers.remove(id);
        forgetUnknownIncarnation(id);
        BackendServer removedServer = servers.remove(id);
        if (removedServer == null) {
            return;
        }
        List<BackendServer> serversOfService =
                byService.get(removedServer.entry().service());
        serversOfService.remove(removedServer);
        if (serversOfService.isEmpty()) {
            byService.remove(removedServer.entry().service());
        }
    }

    /** Forgets that a server is leaving whose incarnations cannot be told apart. */
    private void forgetUnknownIncarnation(ServerId id) {
        leaving.remove(new LeavingServer(id, OptionalLong.empty()));
    }

    private void endEvacuation(Zone zone, long nowMs) {
        evacuated.remove(zone);
        for (BackendServer server : servers.values()) {
            if (server.entry().zone().equals(zone)) {
                server.extendColdPeriod(coldMs(server.entry().service()), nowMs);
            }
        }
    }

    private long coldMs(String service) {
        return serviceSpec(service).map(ServiceSpec::coldMs).orElse(0L);
    }
}
