package org.ibissaddle.daemon.gateway;

import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.PooledByteBufAllocator;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.util.concurrent.Future;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.ibissaddle.backend.BackendRegistry;
import org.ibissaddle.backend.BackendServer;
import org.ibissaddle.backend.ColdRateShare;
import org.ibissaddle.backend.RequestDemand;
import org.ibissaddle.catalog.Catalog;
import org.ibissaddle.catalog.CatalogEvent;
import org.ibissaddle.catalog.StoreVersion;
import org.ibissaddle.daemon.http.Endpoint;
import org.ibissaddle.daemon.http.HttpClient;
import org.ibissaddle.daemon.log.DecisionLog;
import org.ibissaddle.dispatch.RequestWaits;
import org.ibissaddle.dispatch.SharedRetryBudget;
import org.ibissaddle.id.Region;
import org.ibissaddle.peer.ConfigurationConfirmation;
import org.ibissaddle.peer.EventLoopLag;
import org.ibissaddle.peer.PeerTable;
import org.ibissaddle.peer.RegionSelector;
import org.ibissaddle.platform.HeaderDecoder;
import org.ibissaddle.platform.PlatformHeaders;
import org.ibissaddle.platform.StoreItemDecoder;
import org.ibissaddle.port.Clock;
import org.ibissaddle.route.Access;
import org.ibissaddle.route.AccessCheck;
import org.ibissaddle.route.CallerLimits;
import org.ibissaddle.route.Configuration;
import org.ibissaddle.route.Credentials;
import org.ibissaddle.route.EngineSpec;
import org.ibissaddle.route.Route;
import org.ibissaddle.route.ServiceSpec;

/**
 * State shared by the requests of an instance: known servers and instances, retry budgets, connections. Confined to the
 * event loop.
 */
final class GatewayCore {
    /** Value of Retry-After in refusals, seconds; about the time in which the queues drain. */
    private static final String RETRY_AFTER_S = "0.7";
    /** Time after the stop signal in which all requests are still accepted, milliseconds; the platform allows 3 s. */
    private static final long DRAIN_ACCEPT_MS = 2_800;
    /** Memory for responses that are not relayed yet, bytes; a fraction of the direct memory of an instance. */
    private static final long RESPONSE_MEMORY_BYTES = 32 * 1_048_576;

    /** Interval of the measurement of the event loop's lag, milliseconds. */
    private static final long LAG_INTERVAL_MS = 100;

    private GatewaySettings settings;
    private final EventLoop loop;
    private final Clock clock;
    private final long startedMs;
    private final DecisionLog log;
    private final Catalog catalog = new Catalog(new StoreItemDecoder());
    private final ConfigurationConfirmation confirmation = new ConfigurationConfirmation();
    private final BackendRegistry backends;
    private final PeerTable peers;
    private final RegionSelector regions;
    private final HttpClient client;
    private final ServerSignals serverSignals;
    private final HealthChecker healthChecker;
    private final PeerGossip peerGossip;
    private final RequestIntake requestIntake;
    private final RequestQueue requestQueue;
    private final CrashGuard crashGuard;
    private final EventLoopLag lag = new EventLoopLag();
    private final QuotaService quotaService;
    private final MemoryBudget responseMemory = new MemoryBudget(RESPONSE_MEMORY_BYTES);
    private final GatewayMetrics metrics;
    private final Map<String, SharedRetryBudget> budgets = new HashMap<>();
    private final Map<CountedRule, Long> requestsByRule = new HashMap<>();
    private final Set<InboundHandler> connections = new HashSet<>();
    private final Set<Runnable> awaitingConfiguration = new LinkedHashSet<>();
    private boolean draining;
    private long drainStartMs;
    private long drainEndMs;
    private boolean serversKnown;

    GatewayCore(GatewaySettings settings, EventLoop loop, Clock clock, DecisionLog log) {
        this.settings = settings;
        this.loop = loop;
        this.clock = clock;
        this.log = log;
        this.startedMs = clock.nowMs();
        this.metrics = new GatewayMetrics();
        this.backends = createBackendRegistry(settings, startedMs);
        this.peers = new PeerTable(
                settings.name(),
                settings.region(),
                settings.zone(),
                !settings.seeds().isEmpty(),
                clock.nowMs());
        this.regions = new RegionSelector(settings.region(), backends, peers);
        this.client = new HttpClient(loop, clock, this::onUnexpectedClose);
        this.serverSignals = new ServerSignals(this);
        this.healthChecker = new HealthChecker(this);
        this.peerGossip = new PeerGossip(this);
        this.requestIntake = new RequestIntake(this);
        this.requestQueue = new RequestQueue(this);
        this.crashGuard = new CrashGuard(this);
        this.quotaService = new QuotaService(this);
    }

    /** A single instance always selects the best server; several must not all select the same one. */
    private static BackendRegistry createBackendRegistry(GatewaySettings settings, long nowMs) {
        return settings.seeds().isEmpty()
                ? new BackendRegistry(settings.region(), settings.zones())
                : new BackendRegistry(
                        settings.region(),
                        settings.zones(),
                        new SplittableRandom(settings.name().name().hashCode() + nowMs));
    }

    static Endpoint endpoint(BackendServer server) {
        return new Endpoint(server.entry().id().name(), server.entry().address());
    }

    GatewaySettings settings() {
        return settings;
    }

    void reload(GatewaySettings next) {
        settings = settings.withReloadableFrom(next);
    }

    DecisionLog log() {
        return log;
    }

    Catalog catalog() {
        return catalog;
    }

    ConfigurationConfirmation confirmation() {
        return confirmation;
    }

    BackendRegistry backends() {
        return backends;
    }

    PeerTable peers() {
        return peers;
    }

    RegionSelector regions() {
        return regions;
    }

    HttpClient client() {
        return client;
    }

    ServerSignals serverSignals() {
        return serverSignals;
    }

    HealthChecker healthChecker() {
        return healthChecker;
    }

    PeerGossip peerGossip() {
        return peerGossip;
    }

    RequestIntake requestIntake() {
        return requestIntake;
    }

    RequestQueue requestQueue() {
        return requestQueue;
    }

    CrashGuard crashGuard() {
        return crashGuard;
    }

    /** Whether a request can no longer be answered before its deadline, since this instance is late itself. */
    boolean isTooLate(String service, RequestDemand demand, long deadlineMs) {
        return RequestWaits.isTooLate(
                deadlineMs, lag.averageMs(), backends.prefillMs(service, demand.ownTokens()), nowMs());
    }

    /** How late the event loop runs its tasks. */
    EventLoopLag lag() {
        return lag;
    }

    QuotaService quotaService() {
        return quotaService;
    }

    /** Memory for responses that are not relayed yet. */
    MemoryBudget responseMemory() {
        return responseMemory;
    }

    GatewayMetrics metrics() {
        return metrics;
    }

    Set<InboundHandler> connections() {
        return connections;
    }

    ByteBufAllocator allocator() {
        return PooledByteBufAllocator.DEFAULT;
    }

    long nowMs() {
        return clock.nowMs();
    }

    boolean isDraining() {
        return draining;
    }

    void startDraining(long endMs) {
        draining = true;
        drainStartMs = nowMs();
        drainEndMs = endMs;
    }

    /** Whether this instance is ready for callers. */
    boolean isReady() {
        return !draining && serversKnown && catalog.configuration().isPresent();
    }

    CallerLimits limits() {
        return catalog.configuration().map(Configuration::limits).orElse(CallerLimits.DEFAULT);
    }

    long configurationVersion() {
        return catalog.configuration().map(Configuration::version).orElse(0L);
    }

    Optional<Route> route(String host, String path) {
        return host == null
                ? Optional.empty()
                : catalog.configuration().flatMap(configuration -> configuration.route(host, path));
    }

    /** A route and the homes of its requests, which differ among workspaces. */
    private record CountedRule(String route, Set<Region> homes) {
        static CountedRule of(Route rule) {
            return new CountedRule(rule.name(), rule.homeRegions());
        }
    }

    void countRequest(Route route) {
        requestsByRule.merge(CountedRule.of(route), 1L, Long::sum);
    }

    /** Number of requests of a route so far, plus one so that an unused route has a weight above zero. */
    long requestCount(Route route) {
        return requestsByRule.getOrDefault(CountedRule.of(route), 0L) + 1;
    }

    /** Shares of this instance in the request rates of the cold servers of its region. */
    ColdRateShare coldRateShare() {
        return server -> peers.coldRateShare(settings.region(), server, nowMs());
    }

    long kvTokens(String service) {
        return backends.serviceSpec(service)
                .flatMap(ServiceSpec::engine)
                .map(EngineSpec::kvTokens)
                .orElse(Long.MAX_VALUE);
    }

    SharedRetryBudget retryBudget(String service) {
        GatewaySettings.PlatformLimits platformLimits = settings.platformLimits();
        double ratio = platformLimits.retryRatio();
        double slack = platformLimits.retrySlack();
        long windowMs = platformLimits.retryWindowMs();
        return budgets.computeIfAbsent(
                service,
                name -> settings.seeds().isEmpty()
                        ? SharedRetryBudget.forSingleInstance(ratio, slack, windowMs, startedMs)
                        : new SharedRetryBudget(ratio, slack, windowMs, startedMs));
    }

    Future<?> schedule(Runnable task, long delayMs) {
        return loop.schedule(() -> runLogged(task), Math.max(0, delayMs), TimeUnit.MILLISECONDS);
    }

    /** Runs a task periodically, also after it has failed. */
    void scheduleWithFixedDelay(Runnable task, long periodMs) {
        loop.scheduleWithFixedDelay(() -> runLogged(task), periodMs, periodMs, TimeUnit.MILLISECONDS);
    }

    /** Measures the lag of the event loop periodically. */
    void startLagMeasurement() {
        measureLag(nowMs() + LAG_INTERVAL_MS);
    }

    private void measureLag(long dueMs) {
        schedule(
                () -> {
                    boolean before = lag.isBehind();
                    lag.record(nowMs() - dueMs, shortestObjectiveMs(), nowMs());
                    if (before != lag.isBehind()) {
                        log.notice("event-loop", "behind", lag.isBehind(), "lagMs", lag.averageMs());
                    }
                    startLagMeasurement();
                },
                dueMs - nowMs());
    }

    private long shortestObjectiveMs() {
        return catalog.configuration().map(Configuration::shortestObjectiveMs).orElse(Long.MAX_VALUE);
    }

    void execute(Runnable task) {
        loop.execute(() -> runLogged(task));
    }

    /** The event loop would end a periodic task that fails, and would not report the failure of a scheduled one. */
    private void runLogged(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            log.notice("task-failed", "cause", e);
        }
    }

    /** An error that is detected from the head of a request, before its body is read. */
    record HeadError(HttpResponseStatus status, String reason) {}

    Optional<HeadError> checkHead(HttpRequest head, boolean forwarded) {
        String host = head.headers().get("Host");
        if (host == null || !head.uri().startsWith("/")) {
            return Optional.of(new HeadError(
                    HttpResponseStatus.BAD_REQUEST, "missing Host header, or the request target is not a path"));
        }
        if (catalog.configuration().isEmpty()) {
            return Optional.empty();
        }
        Optional<Route> route = route(host, path(head));
        if (route.isEmpty()) {
            return Optional.of(
                    new HeadError(HttpResponseStatus.NOT_FOUND, "no route matches the host and path of the request"));
        }
        Optional<HeadError> denied = checkAccess(route.get(), head, forwarded);
        if (denied.isPresent()) {
            return denied;
        }
        if (draining && mayOutliveDrain(route.get(), head)) {
            return Optional.of(new HeadError(HttpResponseStatus.SERVICE_UNAVAILABLE, "the instance is stopping"));
        }
        return Optional.empty();
    }

    /** A request that no server of this region may run is rejected before its body has been sent here. */
    private Optional<HeadError> checkAccess(Route route, HttpRequest head, boolean forwarded) {
        return switch (access(route, head.headers(), forwarded)) {
            case Access.Granted granted ->
                granted.keyed() && forwarded && !granted.route().allows(settings.region())
                        ? Optional.of(new HeadError(
                                HttpResponseStatus.SERVICE_UNAVAILABLE, "this region is no home of the request"))
                        : Optional.empty();
            case Access.Unauthorized unauthorized ->
                Optional.of(new HeadError(HttpResponseStatus.UNAUTHORIZED, unauthorized.reason()));
            case Access.Unavailable unavailable ->
                Optional.of(new HeadError(HttpResponseStatus.SERVICE_UNAVAILABLE, unavailable.reason()));
        };
    }

    /** Checks a request against the configuration in force, which must be known. */
    Access access(Route route, HttpHeaders headers, boolean forwarded) {
        Credentials credentials = new Credentials(
                HeaderDecoder.decodeApiKey(headers.getAll(PlatformHeaders.AUTHORIZATION)),
                forwarded,
                Optional.ofNullable(headers.get(InternalHeaders.WORKSPACE)));
        return AccessCheck.check(catalog.configuration().orElseThrow(), route, credentials, isConfirmed());
    }

    /** Whether the configuration may decide on API keys, which may have been revoked in a later one. */
    private boolean isConfirmed() {
        GatewaySettings.Revocation revocation = settings.platformLimits().revocation();
        return !revocation.strict() || confirmation.isRecent(revocation.revokeMs(), nowMs());
    }

    boolean hasWorkspaces() {
        return catalog.configuration().map(Configuration::hasWorkspaces).orElse(false);
    }

    /** Whether a request that arrives late in the drain could still run when the process has to exit. */
    private boolean mayOutliveDrain(Route route, HttpRequest head) {
        if (nowMs() < drainStartMs + DRAIN_ACCEPT_MS) {
            return false;
        }
        return nowMs() + effectiveTimeoutMs(route, head.headers()) + RequestExchange.DEADLINE_GRACE_MS > drainEndMs;
    }

    /** Timeout of a request from its arrival; that of an idle connection if the request has no route, milliseconds. */
    long timeoutMs(HttpRequest head) {
        return route(head.headers().get("Host"), path(head))
                .map(route -> effectiveTimeoutMs(route, head.headers()))
                .orElseGet(() -> limits().idleTimeoutMs());
    }

    private static String path(HttpRequest head) {
        return head.uri().split("\\?", 2)[0];
    }

    /** Timeout of a request from its arrival: the shorter of those of its caller and its route, milliseconds. */
    static long effectiveTimeoutMs(Route route, HttpHeaders headers) {
        long callerMs = HeaderDecoder.decodeMillis(headers.get(PlatformHeaders.DEADLINE_MS))
                .orElse(route.timeoutMs());
        return Math.min(callerMs, route.timeoutMs());
    }

    /** Returns the headers of an error response that the gateway itself creates. */
    HttpHeaders errorHeaders(
            HttpResponseStatus status, boolean toPeer, boolean provenNotRun, boolean mayHaveReachedServer) {
        HttpHeaders headers = new DefaultHttpHeaders();
        if (status.equals(HttpResponseStatus.SERVICE_UNAVAILABLE)) {
            headers.set("Retry-After", RETRY_AFTER_S);
        }
        if (status.equals(HttpResponseStatus.UNAUTHORIZED)) {
            headers.set(HttpHeaderNames.WWW_AUTHENTICATE, PlatformHeaders.AUTHENTICATION_SCHEME);
        }
        if (toPeer) {
            headers.set(InternalHeaders.OUTCOME, provenNotRun ? InternalHeaders.NOT_RUN : InternalHeaders.UNKNOWN);
            InternalHeaders.setReachedServer(headers, mayHaveReachedServer);
        }
        return headers;
    }

    /**
     * Applies changes of the catalog to the backend servers and retries queued requests. The catalog does not return a
     * change again, so that one which cannot be applied must not prevent the others.
     */
    void applyCatalogEvents(List<CatalogEvent> events, String source) {
        for (CatalogEvent event : events) {
            runLogged(() -> {
                crashGuard.onCatalogEvent(event);
                backends.apply(event, nowMs());
                logCatalogEvent(event, source);
            });
        }
        if (!events.isEmpty()) {
            requestQueue.retryAll();
            runAwaitingConfiguration();
        }
    }

    /** Runs a task when the first configuration is known, or at the given time if none arrives before. */
    void runWhenConfigured(Runnable task, long untilMs) {
        awaitingConfiguration.add(task);
        schedule(
                () -> {
                    if (awaitingConfiguration.remove(task)) {
                        task.run();
                    }
                },
                untilMs - nowMs());
    }

    private void runAwaitingConfiguration() {
        if (awaitingConfiguration.isEmpty() || catalog.configuration().isEmpty()) {
            return;
        }
        List<Runnable> tasks = List.copyOf(awaitingConfiguration);
        awaitingConfiguration.clear();
        log.notice("requests-held-for-configuration", "count", tasks.size());
        tasks.forEach(Runnable::run);
    }

    void markServersKnown() {
        serversKnown = true;
    }

    void onCapacityChanged(String service) {
        requestQueue.onCapacityChanged(service);
    }

    void recordOutcome(String outcome) {
        metrics.recordOutcome(outcome);
    }

    private void onUnexpectedClose(Endpoint endpoint) {
        backends.all().stream()
                .filter(server -> endpoint(server).equals(endpoint))
                .findFirst()
                .ifPresent(healthChecker::markSuspect);
    }

    private void logCatalogEvent(CatalogEvent event, String source) {
        StoreVersion revision = catalog.version();
        switch (event) {
            case CatalogEvent.ServerPublished published -> logServer(published, source, revision);
            case CatalogEvent.ServerRemoved removed ->
                log.notice("server-removed", "server", removed.id(), "source", source, "revision", revision);
            case CatalogEvent.ConfigurationPublished published ->
                log.notice(
                        "configuration",
                        "version",
                        published.configuration().version(),
                        "source",
                        source,
                        "revision",
                        revision);
            case CatalogEvent.EvacuationRequested requested ->
                log.notice("evacuation-requested", "zone", requested.zone(), "source", source, "revision", revision);
            case CatalogEvent.EvacuationWithdrawn withdrawn ->
                log.notice("evacuation-withdrawn", "zone", withdrawn.zone(), "source", source, "revision", revision);
            case CatalogEvent.Malformed unreadable ->
                log.notice("unreadable-item", "key", unreadable.key(), "reason", unreadable.reason());
            case CatalogEvent.Ignored ignored -> {}
        }
    }

    private void logServer(CatalogEvent.ServerPublished published, String source, StoreVersion revision) {
        log.notice(
                "server-published",
                "server",
                published.entry().id(),
                "service",
                published.entry().service(),
                "zone",
                published.entry().zone(),
                "draining",
                published.entry().draining(),
                "coldMs",
                published.entry().coldForMs(),
                "source",
                source,
                "revision",
                revision);
    }
}
