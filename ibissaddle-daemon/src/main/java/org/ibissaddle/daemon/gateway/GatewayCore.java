package org.ibissaddle.daemon.gateway;

import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.PooledByteBufAllocator;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultHttpHeaders;
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
import java.util.concurrent.TimeUnit;
import org.ibissaddle.backend.BackendServer;
import org.ibissaddle.backend.Backends;
import org.ibissaddle.catalog.Catalog;
import org.ibissaddle.catalog.Fact;
import org.ibissaddle.daemon.http.Endpoint;
import org.ibissaddle.daemon.http.HttpClient;
import org.ibissaddle.daemon.log.DecisionLog;
import org.ibissaddle.dispatch.SharedRetryBudget;
import org.ibissaddle.peer.Peers;
import org.ibissaddle.peer.RegionChoice;
import org.ibissaddle.platform.HeaderValues;
import org.ibissaddle.platform.Headers;
import org.ibissaddle.platform.PublishedFacts;
import org.ibissaddle.port.Clock;
import org.ibissaddle.route.CallerLimits;
import org.ibissaddle.route.Configuration;
import org.ibissaddle.route.EngineSpec;
import org.ibissaddle.route.Route;
import org.ibissaddle.route.ServiceSpec;

/** What the requests of an instance share: beliefs, budgets, connections. Confined to the event loop. */
final class GatewayCore {
    /** When a refused caller may come back, seconds; about the time in which queues empty. */
    private static final String RETRY_AFTER_S = "0.7";
    /** Time after the signal to stop in which every request is still taken, milliseconds; the platform allows 3 s. */
    private static final long DRAIN_OPEN_MS = 2_800;

    private GatewaySettings settings;
    private final EventLoop loop;
    private final Clock clock;
    private final DecisionLog log;
    private final Catalog catalog = new Catalog(new PublishedFacts());
    private final Backends backends;
    private final Peers peers;
    private final RegionChoice regions;
    private final HttpClient client;
    private final HealthChecks healthChecks;
    private final PeerCalls peerCalls;
    private final WaitingRequests waiting;
    private final GatewayMetrics metrics;
    private final Map<String, SharedRetryBudget> budgets = new HashMap<>();
    private final Map<String, Long> requestsByRoute = new HashMap<>();
    private final Set<InboundHandler> connections = new HashSet<>();
    private final Set<Runnable> unconfigured = new LinkedHashSet<>();
    private boolean draining;
    private long drainStartMs;
    private long drainEndMs;
    private boolean serversKnown;

    GatewayCore(GatewaySettings settings, EventLoop loop, Clock clock, DecisionLog log) {
        this.settings = settings;
        this.loop = loop;
        this.clock = clock;
        this.log = log;
        this.metrics = new GatewayMetrics();
        this.backends = new Backends(settings.region(), settings.zones());
        this.peers = new Peers(settings.name());
        this.regions = new RegionChoice(settings.region(), backends, peers);
        this.client = new HttpClient(loop, clock, this::closedUnexpectedly);
        this.healthChecks = new HealthChecks(this);
        this.peerCalls = new PeerCalls(this);
        this.waiting = new WaitingRequests(this);
    }

    static Endpoint endpoint(BackendServer server) {
        return new Endpoint(server.entry().id().name(), server.entry().address());
    }

    GatewaySettings settings() {
        return settings;
    }

    void reload(GatewaySettings next) {
        settings = settings.withReloadable(next);
    }

    DecisionLog log() {
        return log;
    }

    Catalog catalog() {
        return catalog;
    }

    Backends backends() {
        return backends;
    }

    Peers peers() {
        return peers;
    }

    RegionChoice regions() {
        return regions;
    }

    HttpClient client() {
        return client;
    }

    HealthChecks healthChecks() {
        return healthChecks;
    }

    PeerCalls peerCalls() {
        return peerCalls;
    }

    WaitingRequests waiting() {
        return waiting;
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

    /** Whether callers may be sent here. */
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

    /** Counts a request of a route. */
    void routeUsed(Route route) {
        requestsByRoute.merge(route.name(), 1L, Long::sum);
    }

    /** Requests of a route so far, and one more, so that a route not used yet counts a little. */
    long useOf(Route route) {
        return requestsByRoute.getOrDefault(route.name(), 0L) + 1;
    }

    long kvTokens(String service) {
        return backends.spec(service)
                .flatMap(ServiceSpec::engine)
                .map(EngineSpec::kvTokens)
                .orElse(Long.MAX_VALUE);
    }

    SharedRetryBudget budget(String service) {
        GatewaySettings.Bounds bounds = settings.bounds();
        return budgets.computeIfAbsent(
                service,
                name -> new SharedRetryBudget(
                        bounds.retryRatio(), bounds.retrySlack(), bounds.retryWindowMs(), nowMs()));
    }

    Future<?> schedule(Runnable task, long delayMs) {
        return loop.schedule(task, Math.max(0, delayMs), TimeUnit.MILLISECONDS);
    }

    void every(Runnable task, long periodMs) {
        loop.scheduleWithFixedDelay(task, periodMs, periodMs, TimeUnit.MILLISECONDS);
    }

    void soon(Runnable task) {
        loop.execute(task);
    }

    /** A refusal that is known from the head of a request. */
    record HeadRefusal(HttpResponseStatus status, String reason) {}

    Optional<HeadRefusal> headRefusal(HttpRequest head) {
        String host = head.headers().get("Host");
        if (host == null || !head.uri().startsWith("/")) {
            return Optional.of(new HeadRefusal(HttpResponseStatus.BAD_REQUEST, "no host, or the target is no path"));
        }
        if (catalog.configuration().isEmpty()) {
            return Optional.empty();
        }
        String path = head.uri().split("\\?", 2)[0];
        Optional<Route> route = route(host, path);
        if (route.isEmpty()) {
            return Optional.of(new HeadRefusal(HttpResponseStatus.NOT_FOUND, "no route"));
        }
        if (draining && mightOutlive(route.get(), head)) {
            return Optional.of(new HeadRefusal(HttpResponseStatus.SERVICE_UNAVAILABLE, "the instance is stopping"));
        }
        return Optional.empty();
    }

    /** Whether a request that comes late in the drain might still run when the process has to end. */
    private boolean mightOutlive(Route route, HttpRequest head) {
        if (nowMs() < drainStartMs + DRAIN_OPEN_MS) {
            return false;
        }
        return nowMs() + allowedMs(route, head.headers()) > drainEndMs;
    }

    /** How long a request may take from its arrival: what its caller and its route allow, milliseconds. */
    static long allowedMs(Route route, HttpHeaders headers) {
        long callerMs = HeaderValues.millis(headers.get(Headers.DEADLINE_MS)).orElse(route.timeoutMs());
        return Math.min(callerMs, route.timeoutMs());
    }

    /** Headers of an answer of the gateway's own. */
    HttpHeaders refusalHeaders(HttpResponseStatus status, boolean toPeer, boolean notRun) {
        HttpHeaders headers = new DefaultHttpHeaders();
        if (status.equals(HttpResponseStatus.SERVICE_UNAVAILABLE)) {
            headers.set("Retry-After", RETRY_AFTER_S);
        }
        if (toPeer) {
            headers.set(InternalHeaders.OUTCOME, notRun ? InternalHeaders.NOT_RUN : InternalHeaders.UNKNOWN);
        }
        return headers;
    }

    /** Puts changes of the catalog into force. */
    void learn(List<Fact> news, String source) {
        for (Fact fact : news) {
            backends.learn(fact, nowMs());
            logFact(fact, source);
        }
        if (!news.isEmpty()) {
            waiting.retryAll();
            runConfigured();
        }
    }

    /** Runs a task when the first configuration is known, or when its time is up. */
    void whenConfigured(Runnable task, long untilMs) {
        unconfigured.add(task);
        schedule(
                () -> {
                    if (unconfigured.remove(task)) {
                        task.run();
                    }
                },
                untilMs - nowMs());
    }

    private void runConfigured() {
        if (unconfigured.isEmpty() || catalog.configuration().isEmpty()) {
            return;
        }
        List<Runnable> tasks = List.copyOf(unconfigured);
        unconfigured.clear();
        log.notable("requests-held-for-configuration", "count", tasks.size());
        tasks.forEach(Runnable::run);
    }

    void serversKnown() {
        serversKnown = true;
    }

    void capacityChanged(String service) {
        waiting.capacityChanged(service);
    }

    void requestEnded(String outcome) {
        metrics.ended(outcome);
    }

    private void closedUnexpectedly(Endpoint endpoint) {
        backends.all().stream()
                .filter(server -> endpoint(server).equals(endpoint))
                .findFirst()
                .ifPresent(healthChecks::doubt);
    }

    private void logFact(Fact fact, String source) {
        long revision = catalog.revision();
        switch (fact) {
            case Fact.ServerPublished published -> logServer(published, source, revision);
            case Fact.ServerRemoved removed ->
                log.notable("server-removed", "server", removed.id(), "source", source, "revision", revision);
            case Fact.ConfigurationPublished published ->
                log.notable(
                        "configuration",
                        "version",
                        published.configuration().version(),
                        "source",
                        source,
                        "revision",
                        revision);
            case Fact.EvacuationRequested requested ->
                log.notable("evacuation-requested", "zone", requested.zone(), "source", source, "revision", revision);
            case Fact.EvacuationWithdrawn withdrawn ->
                log.notable("evacuation-withdrawn", "zone", withdrawn.zone(), "source", source, "revision", revision);
            case Fact.Unreadable unreadable ->
                log.notable("unreadable-item", "key", unreadable.key(), "reason", unreadable.reason());
            case Fact.Unrelated ignored -> {}
        }
    }

    private void logServer(Fact.ServerPublished published, String source, long revision) {
        log.notable(
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
