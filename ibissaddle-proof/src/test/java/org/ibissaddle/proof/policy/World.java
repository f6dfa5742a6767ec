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

/** One run: eight engine stand-ins, four gateways with a policy each, links with delay and rate, and callers. */
final class World implements AutoCloseable {
    static final long DEADLINE_MS = 3_000;

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int[] GATEWAY_REGIONS = {0, 0, 1, 2};
    private static final long REFRESH_MS = 200;
    private static final int MAX_RESTARTS = 20;
    private static final long RESTART_PAUSE_MS = 50;
    private static final int DOCUMENT_CHARS = 6_400;
    private static final int QUESTION_CHARS = 320;
    private static final double ANSWER_BYTES_PER_TOKEN = 250;

    final ReleaseNote note;
    final HttpClient http;
    final ScheduledExecutorService timer = Executors.newScheduledThreadPool(1);
    private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();
    private final EventLoopGroup loops = HttpStandin.newEventLoops(1);
    private final Deployment deployment;
    private final Scenario scenario;
    private final List<EngineStandin> engines = new ArrayList<>();
    private final List<Gateway> gateways = new ArrayList<>();
    private final AtomicLong linkFreeAtMicros = new AtomicLong();
    private final AtomicLong linkBytes = new AtomicLong();
    private final Figures figures = new Figures();

    World(Deployment deployment, Scenario scenario, Contender contender) throws StandinStartException {
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
            List<ServerView> own =
                    servers.stream().filter(s -> s.region().equals(region)).toList();
            gateways.add(new Gateway("g" + i, region, contender.make(), own, this));
        }
    }

    /** Runs the scenario and returns what was measured after the warm-up. */
    Figures run(long seed) throws ExecutionException, InterruptedException, StandinStartException {
        refresh();
        var refreshing = timer.scheduleWithFixedDelay(
                () -> executor.execute(this::refresh), REFRESH_MS, REFRESH_MS, TimeUnit.MILLISECONDS);
        long start = System.nanoTime();
        List<Future<?>> all = new ArrayList<>();
        double before = 0;
        boolean measuring = false;
        int number = 0;
        for (Scenario.Arrival arrival : scenario.arrivals(seed)) {
            if (!measuring && arrival.atMs() >= Scenario.WARM_UP_MS) {
                measuring = true;
                before = spent();
                begin();
            }
            long due = start + TimeUnit.MILLISECONDS.toNanos(arrival.atMs());
            TimeUnit.NANOSECONDS.sleep(due - System.nanoTime());
            int n = number++;
            boolean counted = measuring;
            all.add(executor.submit(() -> call(arrival, n, seed, counted)));
        }
        for (Future<?> one : all) {
            one.get();
        }
        refreshing.cancel(false);
        figures.cost = spent() - before;
        return figures;
    }

    @Override
    public void close() {
        timer.shutdownNow();
        http.shutdownNow();
        executor.shutdownNow();
        engines.forEach(EngineStandin::close);
        HttpStandin.closeEventLoops(loops);
    }

    private List<ServerView> startEngines() throws StandinStartException {
        List<ServerView> servers = new ArrayList<>();
        for (int r = 0; r < Deployment.ENGINES.length; r++) {
            Region region = Deployment.REGIONS.get(r);
            for (int i = 0; i < Deployment.ENGINES[r]; i++) {
                String name = region + "-e" + i;
                EngineStandin engine = new EngineStandin(options(name), loops);
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
                .loadLagMs(scenario.reportLagMs)
                .lostConnectionGraceMs(50)
                .build();
    }

    private void begin() throws StandinStartException {
        if (scenario.loses()) {
            engines.get(0).close();
            engines.get(1).close();
        }
        if (scenario == Scenario.COLD_RETURN) {
            for (int i = 0; i < Deployment.ENGINES[0]; i++) {
                restart(engines.get(i));
            }
        }
    }

    /** Restarts an engine; its port may be in use for a moment as that of an outgoing connection. */
    private static void restart(EngineStandin engine) throws StandinStartException {
        for (int i = 1; i < MAX_RESTARTS; i++) {
            try {
                engine.restart();
                return;
            } catch (StandinStartException e) {
                sleep(RESTART_PAUSE_MS);
            }
        }
        engine.restart();
    }

    private void refresh() {
        List<InstanceView> all = gateways.stream().map(Gateway::self).toList();
        for (Gateway gateway : gateways) {
            gateway.refresh(
                    all.stream().filter(one -> !one.id().equals(gateway.id)).toList());
        }
    }

    private double spent() {
        double tokens = 0;
        for (EngineStandin engine : engines) {
            EngineStats stats = engine.stats();
            tokens += stats.prefilledTokens() * 0.125 + stats.decodedTokens();
        }
        return deployment.cost(tokens, (double) linkBytes.get());
    }

    private void call(Scenario.Arrival arrival, int number, long seed, boolean counted) {
        long start = System.nanoTime();
        SplittableRandom random = new SplittableRandom(seed * 1_000_003 + number);
        String prompt = text(arrival.document(), DOCUMENT_CHARS) + text(-arrival.question() - 1, QUESTION_CHARS);
        Workspace workspace =
                note.workspace(new WorkspaceId(arrival.workspace())).orElseThrow();
        PlacementRequest work = new PlacementRequest(
                new RequestId("q" + number),
                workspace,
                Deployment.POOL,
                Optional.of(Deployment.MODEL),
                workspace.priority(),
                Gateway.now() + DEADLINE_MS,
                PromptBlocks.tokens(prompt),
                24,
                PromptBlocks.of(Deployment.MODEL.toString(), prompt).stream()
                        .map(block -> Long.parseUnsignedLong(block, 16))
                        .toList(),
                Set.of(),
                List.of());
        Gateway gateway = gatewayOf(arrival, number);
        Call call = new Call(work, gateway, body(prompt, arrival.tokens()), prompt.length(), arrival.tokens());
        call.run(random);
        if (!counted) {
            return;
        }
        double firstMs = call.firstNanos == 0 ? DEADLINE_MS : (call.firstNanos - start) / 1e6;
        boolean late = !call.refused && (call.firstNanos == 0 || firstMs > DEADLINE_MS);
        double shown = late || call.refused ? DEADLINE_MS : firstMs;
        figures.add(new Figures.Sample(shown, call.refused, late, call.away, call.decidedNanos / 1e6), call.gaps);
    }

    private Gateway gatewayOf(Scenario.Arrival arrival, int number) {
        return switch (arrival.region()) {
            case 0 -> gateways.get(number % 2);
            case 1 -> gateways.get(2);
            default -> gateways.get(3);
        };
    }

    private Gateway gateway(InstanceView peer) {
        return gateways.stream().filter(g -> g.id.equals(peer.id())).findFirst().orElseThrow();
    }

    private void cross(double bytes) {
        double rate = deployment.linkRate() * (1 - scenario.linkUsed);
        long micros = (long) (bytes / rate * 1e6);
        long now = System.nanoTime() / 1_000;
        long free = linkFreeAtMicros.updateAndGet(old -> Math.max(old, now) + micros);
        linkBytes.addAndGet((long) bytes);
        sleep((free - now) / 1_000 + Deployment.ROUND_TRIP_MS / 2);
    }

    private static void sleep(long ms) {
        try {
            TimeUnit.MILLISECONDS.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static String body(String prompt, int tokens) {
        ObjectNode body = JSON.createObjectNode();
        return body.put("model", Deployment.MODEL.toString())
                .put("prompt", prompt)
                .put("max_tokens", tokens)
                .put("stream", true)
                .toString();
    }

    private static String text(int seed, int chars) {
        SplittableRandom random = new SplittableRandom(seed);
        StringBuilder text = new StringBuilder();
        while (text.length() < chars) {
            text.append(Long.toString(random.nextLong() >>> 1, 36)).append(' ');
        }
        return text.substring(0, chars);
    }

    /** One request on its way through the gateways. */
    private final class Call {
        private PlacementRequest work;
        private final Gateway gateway;
        private final String body;
        private final int promptBytes;
        private final int tokens;
        private long firstNanos;
        private long decidedNanos;
        private boolean refused;
        private boolean away;
        private List<Double> gaps = List.of();

        Call(PlacementRequest work, Gateway gateway, String body, int promptBytes, int tokens) {
            this.work = work;
            this.gateway = gateway;
            this.body = body;
            this.promptBytes = promptBytes;
            this.tokens = tokens;
        }

        void run(SplittableRandom random) {
            for (int i = 0; i < Gateway.maxTries(); i++) {
                Placement placement = place(gateway, work, random);
                boolean done = false;
                if (placement instanceof Placement.Forward forward) {
                    done = forward(forward, random);
                } else if (!gateway.admit(work)) {
                    refused = true;
                    return;
                } else if (placement instanceof Placement.Serve) {
                    done = serveAgain(random);
                } else {
                    refused = true;
                    return;
                }
                if (done) {
                    return;
                }
            }
            refused = firstNanos == 0 && Gateway.now() < work.deadlineMs();
        }

        private boolean serveAgain(SplittableRandom random) {
            Placement placement = place(gateway, work, random);
            return switch (placement) {
                case Placement.Serve serve -> serve(gateway, serve);
                case Placement.Forward forward -> forward(forward, random);
                case Placement.Refuse refuse -> {
                    refused = true;
                    yield true;
                }
            };
        }

        private Placement place(Gateway at, PlacementRequest what, SplittableRandom random) {
            long from = System.nanoTime();
            Placement placement = at.place(what, random);
            decidedNanos += System.nanoTime() - from;
            return placement;
        }

        private boolean serve(Gateway at, Placement.Serve serve) {
            Gateway.Answer answer = at.serve(work, serve, body, World.this);
            firstNanos = answer.firstTokenNanos();
            gaps = answer.gaps();
            work = work.excluding(serve.server().id());
            return firstNanos != 0 || Gateway.now() >= work.deadlineMs();
        }

        private boolean forward(Placement.Forward forward, SplittableRandom random) {
            PlacementPolicy.DispatchHandle running = gateway.policy.recordDispatch(work, forward, Gateway.now());
            cross(promptBytes);
            Gateway remote = gateway(forward.peer());
            PlacementRequest sent = new PlacementRequest(
                    work.request(),
                    work.workspace(),
                    work.pool(),
                    work.model(),
                    work.priority(),
                    work.deadlineMs(),
                    work.promptTokens(),
                    work.maxTokens(),
                    work.prefix(),
                    Set.of(),
                    List.of(gateway.region));
            Placement placement = place(remote, sent, random);
            boolean done = false;
            if (placement instanceof Placement.Serve serve) {
                away = true;
                done = serve(remote, serve);
                linkBytes.addAndGet((long) (tokens * ANSWER_BYTES_PER_TOKEN));
                firstNanos += firstNanos == 0 ? 0 : TimeUnit.MILLISECONDS.toNanos(Deployment.ROUND_TRIP_MS / 2);
            }
            running.completed(done, Gateway.now());
            return done;
        }
    }
}
