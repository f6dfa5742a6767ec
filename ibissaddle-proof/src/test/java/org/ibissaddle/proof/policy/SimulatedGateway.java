package org.ibissaddle.proof.policy;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.ibissaddle.admission.Admission;
import org.ibissaddle.admission.Admissions;
import org.ibissaddle.fleet.FleetView;
import org.ibissaddle.fleet.Health;
import org.ibissaddle.fleet.InstanceView;
import org.ibissaddle.fleet.ServerLoad;
import org.ibissaddle.fleet.ServerView;
import org.ibissaddle.id.Address;
import org.ibissaddle.id.Incarnation;
import org.ibissaddle.id.InstanceId;
import org.ibissaddle.id.Region;
import org.ibissaddle.id.RequestId;
import org.ibissaddle.id.ServerId;
import org.ibissaddle.id.Zone;
import org.ibissaddle.note.ReleaseNote;
import org.ibissaddle.placement.Placement;
import org.ibissaddle.placement.PlacementPolicy;
import org.ibissaddle.placement.PlacementRequest;
import org.ibissaddle.placement.WeightedPolicy;

/** A minimal gateway around a policy. It sends real HTTP requests to the engines and polls their load reports. */
final class SimulatedGateway {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int MAX_ATTEMPTS = 3;
    private static final double PREFILL_TOKEN_COST = 0.125;

    final InstanceId id;
    final Region region;
    final PlacementPolicy policy;
    private final Admission admission = Admissions.fair();
    private final Map<RequestId, CompletableFuture<Admission.AdmissionDecision>> waitingRequests =
            new ConcurrentHashMap<>();
    private final List<ServerView> servers;
    private final ReleaseNote note;
    private final HttpClient http;
    private final Map<ServerId, Long> lastEventSequences = new ConcurrentHashMap<>();
    private volatile FleetView view;

    /** The result of one attempt to serve a request. */
    record ServeResult(boolean accepted, long firstTokenNanos, List<Double> tokenIntervalsMs) {}

    SimulatedGateway(
            String name, Region region, PlacementPolicy policy, List<ServerView> servers, PolicySimulation simulation) {
        id = new InstanceId(name);
        this.region = region;
        this.policy = policy;
        this.servers = servers;
        note = simulation.note;
        http = simulation.http;
        view = new FleetView(createSelfView(0, 0), List.of(), servers, now());
    }

    static long now() {
        return System.currentTimeMillis();
    }

    InstanceView self() {
        return view.self();
    }

    FleetView view() {
        return view;
    }

    /** Polls all engines of the region and applies the views that the other gateways report of themselves. */
    void refresh(List<InstanceView> others) {
        List<CompletableFuture<ServerView>> polls =
                servers.stream().map(this::pollLoad).toList();
        List<ServerView> polledServers =
                polls.stream().map(CompletableFuture::join).toList();
        long now = now();
        FleetView polledView = new FleetView(createSelfView(0, 0), others, polledServers, now);
        InstanceView self;
        if (policy instanceof WeightedPolicy weighted) {
            WeightedPolicy.Forecast forecast = weighted.forecast(Deployment.POOL, note, polledView, now);
            self = createSelfView(forecast.load(), forecast.spareTokensPerSecond());
            if (Boolean.getBoolean("policy.trace")) {
                System.out.println("TRACE " + id + " " + forecast + " waiting " + admission.waiting(Deployment.POOL)
                        + " " + admission.predictedQueueWaitMs(Deployment.POOL));
            }
        } else {
            self = createSelfView(reportedLoad(polledServers), 0);
        }
        view = new FleetView(self, others, polledServers, now);
        servers.forEach(this::pollCacheEvents);
        releaseWaitingRequests();
    }

    private void pollCacheEvents(ServerView server) {
        if (!(policy instanceof WeightedPolicy weighted)) {
            return;
        }
        long after = lastEventSequences.getOrDefault(server.id(), 0L);
        URI uri = URI.create("http://" + server.address() + "/cache-events?after=" + after);
        HttpRequest request =
                HttpRequest.newBuilder(uri).timeout(Duration.ofSeconds(1)).build();
        http.sendAsync(request, HttpResponse.BodyHandlers.ofString())
                .thenAccept(response -> applyCacheEvents(weighted, server, after, response.body()))
                .exceptionally(e -> null);
    }

    private void applyCacheEvents(WeightedPolicy weighted, ServerView server, long after, String body) {
        long lastSequence = after;
        for (JsonNode event : parseJson(body).path("events")) {
            long sequence = event.path("seq").asLong();
            if (sequence > lastSequence + 1) {
                weighted.recordCacheEventLoss(server.id());
            }
            lastSequence = sequence;
            long block = Long.parseUnsignedLong(event.path("block").asText(), 16);
            weighted.recordCacheEvent(
                    server.id(), block, event.path("kind").asText().equalsIgnoreCase("stored"), now());
        }
        lastEventSequences.put(server.id(), lastSequence);
    }

    /** Admits a request received from a client, after queueing if needed. Returns false if it is refused. */
    boolean admit(PlacementRequest placementRequest) {
        if (!(policy instanceof WeightedPolicy weighted)) {
            return true;
        }
        double targetMs = note.weights().firstTokenTargetMs();
        CompletableFuture<Admission.AdmissionDecision> decisionFuture = new CompletableFuture<>();
        waitingRequests.put(placementRequest.request(), decisionFuture);
        double predictedWaitMs = weighted.predictedWaitMs(placementRequest, note, view, now());
        Admission.AdmissionDecision decision = admission.admit(placementRequest, predictedWaitMs, targetMs, now());
        if (decision instanceof Admission.Wait waiting) {
            waiting.displaced().forEach(this::completeWaitingRequest);
            weighted.setQueueWaitMs(Deployment.POOL, admission.predictedQueueWaitMs(Deployment.POOL));
            decision = decisionFuture.join();
        }
        waitingRequests.remove(placementRequest.request());
        return decision instanceof Admission.Start;
    }

    /** Returns the policy's placement decision for the request. */
    Placement place(PlacementRequest placementRequest, RandomGenerator random) {
        return policy.place(placementRequest, note, view, now(), random);
    }

    /** Sends the request to an engine. Closes the response if no token arrives before the deadline. */
    ServeResult serve(
            PlacementRequest placementRequest, Placement.Serve serve, String body, PolicySimulation simulation) {
        PlacementPolicy.DispatchHandle running = policy.recordDispatch(placementRequest, serve, now());
        List<Double> tokenIntervalsMs = new ArrayList<>();
        long firstTokenNanos = 0;
        boolean complete = false;
        boolean accepted = false;
        Address address = serve.server().address();
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + address + "/v1/completions"))
                .header("X-Request-Id", placementRequest.request().name())
                .header("X-Priority", Integer.toString(placementRequest.priority()))
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build();
        try {
            HttpResponse<InputStream> response = http.send(request, HttpResponse.BodyHandlers.ofInputStream());
            accepted = response.statusCode() == 200;
            InputStream stream = response.body();
            var deadlineTask = simulation.timer.schedule(
                    () -> close(stream), placementRequest.deadlineMs() - now(), TimeUnit.MILLISECONDS);
            try (BufferedReader lines = new BufferedReader(new InputStreamReader(stream, StandardCharsets.UTF_8))) {
                long previousNanos = 0;
                for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                    if (!line.startsWith("data: ") || !accepted) {
                        continue;
                    }
                    long arrivedNanos = System.nanoTime();
                    complete |= line.equals("data: [DONE]");
                    if (firstTokenNanos == 0) {
                        deadlineTask.cancel(false);
                        firstTokenNanos = arrivedNanos;
                        running.firstToken(now());
                        releaseWaitingRequests();
                    } else if (!complete) {
                        tokenIntervalsMs.add((arrivedNanos - previousNanos) / 1e6);
                    }
                    running.generated(1);
                    previousNanos = arrivedNanos;
                }
            }
        } catch (IOException e) {
            complete = false;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        running.completed(complete || now() >= placementRequest.deadlineMs(), now());
        releaseWaitingRequests();
        return new ServeResult(accepted, complete ? firstTokenNanos : 0, tokenIntervalsMs);
    }

    private void releaseWaitingRequests() {
        if (!(policy instanceof WeightedPolicy weighted)) {
            return;
        }
        double targetMs = note.weights().firstTokenTargetMs();
        Optional<Admission.Dequeued> next;
        do {
            next = admission.pollNext(
                    Deployment.POOL,
                    placementRequest -> weighted.predictedWaitMs(placementRequest, note, view, now()),
                    targetMs,
                    now());
            next.ifPresent(this::completeWaitingRequest);
        } while (next.isPresent());
        weighted.setQueueWaitMs(Deployment.POOL, admission.predictedQueueWaitMs(Deployment.POOL));
    }

    private void completeWaitingRequest(Admission.Dequeued released) {
        CompletableFuture<Admission.AdmissionDecision> decisionFuture =
                waitingRequests.get(released.placementRequest().request());
        if (decisionFuture != null) {
            decisionFuture.complete(released.decision());
        }
    }

    private CompletableFuture<ServerView> pollLoad(ServerView server) {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + server.address() + "/load"))
                .timeout(Duration.ofSeconds(1))
                .build();
        return http.sendAsync(request, HttpResponse.BodyHandlers.ofString())
                .thenApply(response -> withLoadReport(server, response.body()))
                .exceptionally(e -> viewAfterFailedPoll(server, e));
    }

    private static ServerView withLoadReport(ServerView server, String body) {
        JsonNode load = parseJson(body);
        ServerLoad report = new ServerLoad(
                load.path("at_ms").asLong(),
                load.path("running").asInt(),
                load.path("queued").asInt(),
                load.path("queued_tokens").asLong(),
                load.path("decode_tokens").asLong(),
                load.path("capacity_tokens_per_s").asDouble(),
                load.path("hit_rate").asDouble());
        Incarnation incarnation = new Incarnation(load.path("incarnation").asLong(), 0);
        return withStatus(server, Optional.of(incarnation), Health.LIVE, report);
    }

    /** A refused connection marks the engine as down. After any other failure the last known view stays in use. */
    private ServerView viewAfterFailedPoll(ServerView server, Throwable cause) {
        for (Throwable t = cause; t != null; t = t.getCause()) {
            if (t instanceof ConnectException) {
                return withStatus(server, server.incarnation(), Health.DOWN, ServerLoad.NONE);
            }
        }
        return view.servers().stream()
                .filter(known -> known.id().equals(server.id()))
                .findFirst()
                .orElse(server);
    }

    private static JsonNode parseJson(String body) {
        try {
            return JSON.readTree(body);
        } catch (IOException e) {
            throw new UncheckedIOException("engine returned invalid JSON", e);
        }
    }

    private static ServerView withStatus(
            ServerView server, Optional<Incarnation> incarnation, Health health, ServerLoad load) {
        return new ServerView(
                server.id(),
                incarnation,
                server.pool(),
                server.region(),
                server.zone(),
                server.address(),
                health,
                server.models(),
                load);
    }

    private double reportedLoad(List<ServerView> polledServers) {
        double ms = 0;
        int live = 0;
        for (ServerView server : polledServers) {
            if (server.health() == Health.LIVE) {
                ServerLoad load = server.load();
                double tokens = load.queuedTokens() * PREFILL_TOKEN_COST + load.decodeTokens();
                ms += tokens / Math.max(1, load.capacityTokensPerSecond()) * 1_000;
                live++;
            }
        }
        return live == 0 ? 1 : ms / live / note.weights().firstTokenTargetMs();
    }

    private InstanceView createSelfView(double load, double spareTokensPerSecond) {
        Address unusedAddress = new Address("127.0.0.1", 1);
        return new InstanceView(
                id,
                Optional.empty(),
                region,
                new Zone(region + "z"),
                unusedAddress,
                unusedAddress,
                Health.LIVE,
                load,
                spareTokensPerSecond);
    }

    private static void close(InputStream stream) {
        try {
            stream.close();
        } catch (IOException e) {
            throw new IllegalStateException("failed to close the response stream of the engine", e);
        }
    }

    static int maxAttempts() {
        return MAX_ATTEMPTS;
    }
}
