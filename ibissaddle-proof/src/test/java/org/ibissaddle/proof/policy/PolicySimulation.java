package org.ibissaddle.proof.policy;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoopGroup;
import java.net.http.HttpClient;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.ibissaddle.fleet.Health;
import org.ibissaddle.fleet.InstanceView;
import org.ibissaddle.fleet.ServerLoad;
import org.ibissaddle.fleet.ServerView;
import org.ibissaddle.id.Address;
import org.ibissaddle.id.Region;
import org.ibissaddle.id.RequestId;
import org.ibissaddle.id.ServerId;
import org.ibissaddle.id.WorkspaceId;
import org.ibissaddle.id.Zone;
import org.ibissaddle.note.ReleaseNote;
import org.ibissaddle.note.Workspace;
import org.ibissaddle.placement.Placement;
import org.ibissaddle.placement.PlacementPolicy;
import org.ibissaddle.placement.PlacementRequest;
import org.ibissaddle.standins.EngineOptions;
import org.ibissaddle.standins.EngineStandin;
import org.ibissaddle.standins.EngineStats;
import org.ibissaddle.standins.HttpStandin;
import org.ibissaddle.standins.PromptBlocks;
import org.ibissaddle.standins.StandinStartException;

/**
 * One run with eight simulated engines, four gateways with a policy each, links with delay and bandwidth, and clients.
 */
final class PolicySimulation implements AutoCloseable {
    static final long DEADLINE_MS = 3_000;

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int[] GATEWAY_REGIONS = {0, 0, 1, 2};
    private static final long REFRESH_INTERVAL_MS = 200;
    private static final int MAX_RESTART_ATTEMPTS = 20;
    private static final long RESTART_RETRY_DELAY_MS = 50;
    private static final int DOCUMENT_CHARS = 6_400;
    private static final int QUESTION_CHARS = 320;
    private static final double ANSWER_BYTES_PER_TOKEN = 250;

    final ReleaseNote note;
    final HttpClient http;
    final ScheduledExecutorService timer = Executors.newScheduledThreadPool(1);
    private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();
    private final EventLoopGroup eventLoops = HttpStandin.newEventLoops(1);
    private final Deployment deployment;
    private final Scenario scenario;
    private final List<EngineStandin> engines = new ArrayList<>();
    private final List<SimulatedGateway> gateways = new ArrayList<>();
    private final AtomicLong linkFreeAtMicros = new AtomicLong();
    private final AtomicLong linkBytes = new AtomicLong();
    private final RunMetrics metrics = new RunMetrics();

    PolicySimulation(Deployment deployment, Scenario scenario, CandidatePolicy candidate) throws StandinStartException {
        this.deployment = deployment;
        this.scenario = scenario;
        note = deployment.note();
        http = HttpClient.newBuilder()
                .version(HttpClient.Version.HTTP_1_1)
                .executor(executor)
                .build();
        List<ServerView> servers = startEngines();
        for (int i = 0; i < GATEWAY_REGIONS.length; i++) {
            Region region = Deployment.REGIONS.get(GATEWAY_REGIONS[i]);
            List<ServerView> localServers =
                    servers.stream().filter(s -> s.region().equals(region)).toList();
            gateways.add(new SimulatedGateway("g" + i, region, candidate.createPolicy(), localServers, this));
        }
    }

    /** Runs the scenario and returns the metrics of the requests that arrive after the warm-up. */
    RunMetrics run(long seed) throws ExecutionException, InterruptedException, StandinStartException {
        refreshViews();
        var refreshTask = timer.scheduleWithFixedDelay(
                () -> executor.execute(this::refreshViews),
                REFRESH_INTERVAL_MS,
                REFRESH_INTERVAL_MS,
                TimeUnit.MILLISECONDS);
        long start = System.nanoTime();
        List<Future<?>> requests = new ArrayList<>();
        double warmUpCost = 0;
        boolean measuring = false;
        int number = 0;
        for (Scenario.Arrival arrival : scenario.generateArrivals(seed)) {
            if (!measuring && arrival.atMs() >= Scenario.WARM_UP_MS) {
                measuring = true;
                warmUpCost = totalCost();
                injectFaults();
            }
            long due = start + TimeUnit.MILLISECONDS.toNanos(arrival.atMs());
            TimeUnit.NANOSECONDS.sleep(due - System.nanoTime());
            int requestNumber = number++;
            boolean measured = measuring;
            requests.add(executor.submit(() -> sendRequest(arrival, requestNumber, seed, measured)));
        }
        for (Future<?> request : requests) {
            request.get();
        }
        refreshTask.cancel(false);
        metrics.cost = totalCost() - warmUpCost;
        return metrics;
    }

    @Override
    public void close() {
        timer.shutdownNow();
        http.shutdownNow();
        executor.shutdownNow();
        engines.forEach(EngineStandin::close);
        HttpStandin.shutdownEventLoops(eventLoops);
    }

    private List<ServerView> startEngines() throws StandinStartException {
        List<ServerView> servers = new ArrayList<>();
        for (int r = 0; r < Deployment.ENGINES_PER_REGION.length; r++) {
            Region region = Deployment.REGIONS.get(r);
            for (int i = 0; i < Deployment.ENGINES_PER_REGION[r]; i++) {
                String name = region + "-e" + i;
                EngineStandin engine = new EngineStandin(options(name), eventLoops);
                engine.start();
                engines.add(engine);
                servers.add(new ServerView(
                        new ServerId(name),
                        Optional.empty(),
                        Deployment.POOL,
                        region,
                        new Zone(region + "z"),
                        new Address("127.0.0.1", engine.address().getPort()),
                        Health.LIVE,
                        Set.of(Deployment.MODEL),
                        ServerLoad.NONE));
            }
        }
        return servers;
    }

    private EngineOptions options(String name) {
        return EngineOptions.named(name)
                .models(Deployment.MODEL.toString())
                .prefillTokensPerSecond(8_000)
                .stepMicros(6_000, 1_000)
                .maxBatch(8)
                .maxQueued(512)
                .cacheBlocks(1_600)
                .loadLagMs(scenario.loadReportDelayMs)
                .lostConnectionGraceMs(50)
                .build();
    }

    private void injectFaults() throws StandinStartException {
        if (scenario.stopsEngines()) {
            engines.get(0).close();
            engines.get(1).close();
        }
        if (scenario == Scenario.COLD_RETURN) {
            for (int i = 0; i < Deployment.ENGINES_PER_REGION[0]; i++) {
                restartEngine(engines.get(i));
            }
        }
    }

    /** Restarts an engine, with retries: an outgoing connection may briefly use its port as its local port. */
    private static void restartEngine(EngineStandin engine) throws StandinStartException {
        for (int i = 1; i < MAX_RESTART_ATTEMPTS; i++) {
            try {
                engine.restart();
                return;
            } catch (StandinStartException e) {
                sleep(RESTART_RETRY_DELAY_MS);
            }
        }
        engine.restart();
    }

    private void refreshViews() {
        List<InstanceView> instances =
                gateways.stream().map(SimulatedGateway::self).toList();
        for (SimulatedGateway gateway : gateways) {
            gateway.refresh(instances.stream()
                    .filter(instance -> !instance.id().equals(gateway.id))
                    .toList());
        }
    }

    private double totalCost() {
        double tokens = 0;
        for (EngineStandin engine : engines) {
            EngineStats stats = engine.stats();
            tokens += stats.prefilledTokens() * 0.125 + stats.decodedTokens();
        }
        return deployment.cost(tokens, (double) linkBytes.get());
    }

    private void sendRequest(Scenario.Arrival arrival, int number, long seed, boolean measured) {
        long start = System.nanoTime();
        SplittableRandom random = new SplittableRandom(seed * 1_000_003 + number);
        String prompt = randomText(arrival.document(), DOCUMENT_CHARS)
                + randomText(-arrival.questionSeed() - 1, QUESTION_CHARS);
        Workspace workspace =
                note.workspace(new WorkspaceId(arrival.workspace())).orElseThrow();
        PlacementRequest placementRequest = new PlacementRequest(
                new RequestId("q" + number),
                workspace,
                Deployment.POOL,
                Optional.of(Deployment.MODEL),
                workspace.priority(),
                SimulatedGateway.now() + DEADLINE_MS,
                PromptBlocks.tokens(prompt),
                24,
                PromptBlocks.of(Deployment.MODEL.toString(), prompt).stream()
                        .map(block -> Long.parseUnsignedLong(block, 16))
                        .toList(),
                Set.of(),
                List.of());
        SimulatedGateway gateway = gatewayFor(arrival, number);
        SimulatedRequest request = new SimulatedRequest(
                placementRequest,
                gateway,
                requestBody(prompt, arrival.answerTokens()),
                prompt.length(),
                arrival.answerTokens());
        request.run(random);
        if (!measured) {
            return;
        }
        double firstMs = request.firstTokenNanos == 0 ? DEADLINE_MS : (request.firstTokenNanos - start) / 1e6;
        boolean late = !request.refused && (request.firstTokenNanos == 0 || firstMs > DEADLINE_MS);
        double reportedMs = late || request.refused ? DEADLINE_MS : firstMs;
        metrics.addSample(
                new RunMetrics.Sample(
                        reportedMs, request.refused, late, request.servedRemotely, request.decisionNanos / 1e6),
                request.tokenIntervalsMs);
    }

    private SimulatedGateway gatewayFor(Scenario.Arrival arrival, int number) {
        return switch (arrival.region()) {
            case 0 -> gateways.get(number % 2);
            case 1 -> gateways.get(2);
            default -> gateways.get(3);
        };
    }

    private SimulatedGateway gatewayOfPeer(InstanceView peer) {
        return gateways.stream().filter(g -> g.id.equals(peer.id())).findFirst().orElseThrow();
    }

    private void simulateLinkTransfer(double bytes) {
        double rate = deployment.scaledLinkBytesPerSecond() * (1 - scenario.linkUtilization);
        long micros = (long) (bytes / rate * 1e6);
        long now = System.nanoTime() / 1_000;
        long linkFreeMicros = linkFreeAtMicros.updateAndGet(old -> Math.max(old, now) + micros);
        linkBytes.addAndGet((long) bytes);
        sleep((linkFreeMicros - now) / 1_000 + Deployment.LINK_ROUND_TRIP_MS / 2);
    }

    private static void sleep(long ms) {
        try {
            TimeUnit.MILLISECONDS.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static String requestBody(String prompt, int answerTokens) {
        ObjectNode body = JSON.createObjectNode();
        return body.put("model", Deployment.MODEL.toString())
                .put("prompt", prompt)
                .put("max_tokens", answerTokens)
                .put("stream", true)
                .toString();
    }

    private static String randomText(int seed, int chars) {
        SplittableRandom random = new SplittableRandom(seed);
        StringBuilder text = new StringBuilder();
        while (text.length() < chars) {
            text.append(Long.toString(random.nextLong() >>> 1, 36)).append(' ');
        }
        return text.substring(0, chars);
    }

    /** One request: placement, forwarding between gateways, and the outcome. */
    private final class SimulatedRequest {
        private PlacementRequest placementRequest;
        private final SimulatedGateway gateway;
        private final String body;
        private final int promptBytes;
        private final int answerTokens;
        private long firstTokenNanos;
        private long decisionNanos;
        private boolean refused;
        private boolean servedRemotely;
        private List<Double> tokenIntervalsMs = List.of();

        SimulatedRequest(
                PlacementRequest placementRequest,
                SimulatedGateway gateway,
                String body,
                int promptBytes,
                int answerTokens) {
            this.placementRequest = placementRequest;
            this.gateway = gateway;
            this.body = body;
            this.promptBytes = promptBytes;
            this.answerTokens = answerTokens;
        }

        void run(SplittableRandom random) {
            for (int i = 0; i < SimulatedGateway.maxAttempts(); i++) {
                Placement placement = place(gateway, placementRequest, random);
                boolean done = false;
                if (placement instanceof Placement.Forward forward) {
                    done = forward(forward, random);
                } else if (!gateway.admit(placementRequest)) {
                    refused = true;
                    return;
                } else if (placement instanceof Placement.Serve) {
                    done = serveAdmitted(random);
                } else {
                    refused = true;
                    return;
                }
                if (done) {
                    return;
                }
            }
            refused = firstTokenNanos == 0 && SimulatedGateway.now() < placementRequest.deadlineMs();
        }

        private boolean serveAdmitted(SplittableRandom random) {
            Placement placement = place(gateway, placementRequest, random);
            return switch (placement) {
                case Placement.Serve serve -> serve(gateway, serve);
                case Placement.Forward forward -> forward(forward, random);
                case Placement.Refuse refuse -> {
                    refused = true;
                    yield true;
                }
            };
        }

        private Placement place(SimulatedGateway target, PlacementRequest placedRequest, SplittableRandom random) {
            long startNanos = System.nanoTime();
            Placement placement = target.place(placedRequest, random);
            decisionNanos += System.nanoTime() - startNanos;
            return placement;
        }

        private boolean serve(SimulatedGateway target, Placement.Serve serve) {
            SimulatedGateway.ServeResult result = target.serve(placementRequest, serve, body, PolicySimulation.this);
            firstTokenNanos = result.firstTokenNanos();
            tokenIntervalsMs = result.tokenIntervalsMs();
            placementRequest = placementRequest.excluding(serve.server().id());
            return firstTokenNanos != 0 || SimulatedGateway.now() >= placementRequest.deadlineMs();
        }

        private boolean forward(Placement.Forward forward, SplittableRandom random) {
            PlacementPolicy.DispatchHandle running =
                    gateway.policy.recordDispatch(placementRequest, forward, SimulatedGateway.now());
            simulateLinkTransfer(promptBytes);
            SimulatedGateway remote = gatewayOfPeer(forward.peer());
            PlacementRequest forwardedRequest = new PlacementRequest(
                    placementRequest.request(),
                    placementRequest.workspace(),
                    placementRequest.pool(),
                    placementRequest.model(),
                    placementRequest.priority(),
                    placementRequest.deadlineMs(),
                    placementRequest.promptTokens(),
                    placementRequest.maxTokens(),
                    placementRequest.prefix(),
                    Set.of(),
                    List.of(gateway.region));
            Placement placement = place(remote, forwardedRequest, random);
            boolean done = false;
            if (placement instanceof Placement.Serve serve) {
                servedRemotely = true;
                done = serve(remote, serve);
                linkBytes.addAndGet((long) (answerTokens * ANSWER_BYTES_PER_TOKEN));
                firstTokenNanos +=
                        firstTokenNanos == 0 ? 0 : TimeUnit.MILLISECONDS.toNanos(Deployment.LINK_ROUND_TRIP_MS / 2);
            }
            running.completed(done, SimulatedGateway.now());
            return done;
        }
    }
}
