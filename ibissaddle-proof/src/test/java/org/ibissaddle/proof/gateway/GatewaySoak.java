package org.ibissaddle.proof.gateway;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.Collectors;
import okhttp3.ConnectionPool;
import okhttp3.Interceptor;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.ibissaddle.platform.PlatformHeaders;
import org.ibissaddle.standins.Ports;

/** Four gateway processes in three regions, between callers and backend servers that fail at random. */
final class GatewaySoak implements AutoCloseable {
    private static final String CONFIGURATION = """
            {"version":1,"routes":[
             {"name":"stream","host":"soak","pathPrefix":"/stream/","kind":"streaming","timeoutMs":3000,
              "targetLatencyMs":600,"priority":1,"service":"model","maxAttempts":2,"resumable":true},
             {"name":"once","host":"soak","pathPrefix":"/once/","kind":"non_idempotent","timeoutMs":3000,
              "targetLatencyMs":600,"priority":2,"service":"desk","maxAttempts":2},
             {"name":"read","host":"soak","pathPrefix":"/read/","kind":"idempotent","timeoutMs":3000,
              "targetLatencyMs":600,"priority":3,"service":"desk","maxAttempts":2}],
             "services":[{"name":"model","healthPath":"/healthz"},{"name":"desk","healthPath":"/healthz"}],
             "limits":{}}""";
    private static final List<String> REGIONS = List.of("north", "south", "west");
    private static final List<String> MODEL_SERVER_REGIONS =
            List.of("north", "north", "north", "north", "south", "south", "west", "west");
    private static final int MODEL_SLOTS = 96;
    private static final int DESK_SLOTS = 6;
    private static final int TIMEOUT_MS = 3_000;
    private static final double REQUESTS_PER_S = 160;
    private static final long READY_TIMEOUT_S = 40;

    private final SoakAudit audit = new SoakAudit();
    private final MetadataStore store = new MetadataStore();
    private final List<StutteringServer> servers = new ArrayList<>();
    private final List<Node> nodes = new ArrayList<>();
    private final Path directory;
    private final long seed;
    private final OkHttpClient keeping;
    private final OkHttpClient connecting;

    /** An instance, whose process starts again at the same addresses. */
    private static final class Node {
        private final String name;
        private final String region;
        private final int callers = port();
        private final int readiness = port();
        private final int peers = port();
        private Process process;

        Node(String name, String region) throws IOException {
            this.name = name;
            this.region = region;
        }

        private static int port() throws IOException {
            return Ports.allocate("127.0.0.1");
        }
    }

    GatewaySoak(long seed, Path directory) throws IOException {
        this.seed = seed;
        this.directory = directory;
        keeping = new OkHttpClient.Builder()
                .retryOnConnectionFailure(false)
                .callTimeout(TIMEOUT_MS, TimeUnit.MILLISECONDS)
                .readTimeout(0, TimeUnit.MILLISECONDS)
                .addNetworkInterceptor(GatewaySoak::withoutRetryAfter)
                .build();
        connecting = keeping.newBuilder()
                .connectionPool(new ConnectionPool(0, 1, TimeUnit.MILLISECONDS))
                .build();
        for (String region : REGIONS) {
            addServer("desk", region, DESK_SLOTS);
        }
        for (String region : MODEL_SERVER_REGIONS) {
            addServer("model", region, MODEL_SLOTS);
        }
        store.put("op/config", CONFIGURATION);
        for (String region : List.of("north", "north", "south", "west")) {
            nodes.add(new Node(region + "-" + nodes.size(), region));
        }
    }

    private void addServer(String service, String region, int slots) throws IOException {
        StutteringServer server =
                new StutteringServer(service, region + "-a", slots, Ports.allocate("127.0.0.1"), store, audit);
        server.start();
        servers.add(server);
    }

    /** The client would send a request again after such a refusal. */
    private static Response withoutRetryAfter(Interceptor.Chain chain) throws IOException {
        return chain.proceed(chain.request())
                .newBuilder()
                .removeHeader(PlatformHeaders.RETRY_AFTER)
                .build();
    }

    SoakAudit audit() {
        return audit;
    }

    /** Sends load and injects faults for some time, then waits for the last answers. */
    void run(long durationMs) throws IOException, InterruptedException {
        for (Node node : nodes) {
            start(node);
        }
        for (Node node : nodes) {
            awaitReady(node);
        }
        long endNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(durationMs);
        try (ExecutorService callers = Executors.newVirtualThreadPerTaskExecutor()) {
            callers.execute(() -> injectServerFaults(endNs));
            callers.execute(() -> restartInstances(endNs));
            callers.execute(() -> restoreStore(endNs));
            SplittableRandom random = new SplittableRandom(seed);
            for (int i = 0; System.nanoTime() < endNs; i++) {
                int number = i;
                long choice = random.nextLong();
                callers.execute(() -> call(number, new SplittableRandom(choice), 1));
                double pauseS = -Math.log(1 - random.nextDouble()) / REQUESTS_PER_S;
                LockSupport.parkNanos((long) (pauseS * TimeUnit.SECONDS.toNanos(1)));
            }
        }
    }

    private void call(int number, SplittableRandom random, int retries) {
        String id = "%x%06x%x".formatted(seed, number, retries);
        String kind = List.of("stream", "stream", "once", "read").get(random.nextInt(4));
        boolean stream = kind.equals("stream");
        Node node = nodes.get(random.nextInt(nodes.size()));
        boolean keep = random.nextBoolean();
        Request.Builder request = new Request.Builder()
                .url("http://127.0.0.1:" + node.callers + "/" + kind + "/a")
                .header("Host", "soak")
                .header(PlatformHeaders.REQUEST_ID, id)
                .header(PlatformHeaders.DEADLINE_MS, Integer.toString(TIMEOUT_MS))
                .post(RequestBody.create(new byte[random.nextInt(200)]));
        if (!keep) {
            request.header("Connection", "close");
        }
        audit.sent(stream ? "model" : "desk", id, !kind.equals("once"));
        try (Response response =
                (keep ? keeping : connecting).newCall(request.build()).execute()) {
            String body = response.body().string();
            audit.answered(node.name, id, response.code(), body, StutteringServer.answerTo(id, stream));
            if (response.code() == 503 && retries > 0) {
                call(number, random, retries - 1);
            }
        } catch (IOException e) {
            audit.failed(e.getClass().getSimpleName());
        }
    }

    private void injectServerFaults(long endNs) {
        SplittableRandom random = new SplittableRandom(seed + 1);
        int phaseMs = random.nextBoolean() ? 1_000 : 8_000;
        try {
            while (System.nanoTime() < endNs) {
                Map<String, Double> rejected = Map.of("model", rejectedShare(random), "desk", rejectedShare(random));
                double repeated = new double[] {0, 0.1, 0.4}[random.nextInt(3)];
                double unframed = new double[] {0, 0.2, 0.6}[random.nextInt(3)];
                for (StutteringServer server : servers) {
                    boolean calm = random.nextInt(5) == 0;
                    server.behave(new StutteringServer.Behavior(
                            calm ? 0 : rejected.get(server.service()), repeated, unframed));
                }
                if (random.nextInt(3) == 0) {
                    crash(servers.get(random.nextInt(servers.size())));
                }
                Thread.sleep(phaseMs + random.nextInt(4_000));
            }
        } catch (IOException e) {
            throw new UncheckedIOException("a stand-in doesn't crash", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static double rejectedShare(SplittableRandom random) {
        return new double[] {0, 0, 0.5, 0.9, 1}[random.nextInt(5)];
    }

    private static void crash(StutteringServer server) throws IOException, InterruptedException {
        String crashed = server.crash();
        Thread.sleep(800);
        server.start();
        server.forgetCrash(crashed);
    }

    private void restartInstances(long endNs) {
        SplittableRandom random = new SplittableRandom(seed + 2);
        try {
            while (System.nanoTime() < endNs) {
                Thread.sleep(500 + random.nextInt(2_500));
                Node node = nodes.get(random.nextInt(nodes.size()));
                boolean kill = random.nextBoolean();
                if (kill) {
                    node.process.destroyForcibly();
                } else {
                    node.process.destroy();
                }
                node.process.waitFor();
                start(node);
                awaitReady(node);
            }
        } catch (IOException e) {
            throw new UncheckedIOException("an instance doesn't start again", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * The store comes back from copies. What was lost is written again some time later, or at once and with so much
     * more that the revisions known to the instances are passed before they ask.
     */
    private void restoreStore(long endNs) {
        SplittableRandom random = new SplittableRandom(seed + 3);
        try {
            while (System.nanoTime() < endNs) {
                Thread.sleep(1_000 + random.nextInt(3_000));
                if (random.nextBoolean()) {
                    store.restoreCopyAndPassIt(random.nextInt(6));
                    continue;
                }
                Map<String, Optional<String>> lost = store.restoreCopy(random.nextInt(6));
                int revision = store.revision();
                Thread.sleep(random.nextInt(1_500));
                store.repeat(lost, revision);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void start(Node node) throws IOException {
        String seeds = nodes.stream()
                .filter(other -> other != node)
                .map(other -> "127.0.0.1:" + other.peers)
                .collect(Collectors.joining(","));
        Path settings = directory.resolve(node.name + ".ini");
        Files.writeString(settings, """
                [instance]
                name = %s
                region = %s
                zone = %s-a
                zones = north-a:north,south-a:south,west-a:west
                [gateway]
                caller-address = 127.0.0.1:%d
                readiness-address = 127.0.0.1:%d
                directory-address = 127.0.0.1:%d
                peer-address = 127.0.0.1:%d
                metrics-port = 0
                [platform]
                store-address = %s
                [peers]
                seeds = %s
                [bounds]
                retry-ratio = 0.2
                retry-window-s = 10
                retry-slack = 54
                stop-grace-s = 8
                directory-ttl-s = 5
                """.formatted(
                        node.name,
                        node.region,
                        node.region,
                        node.callers,
                        node.readiness,
                        node.readiness,
                        node.peers,
                        store.address(),
                        seeds));
        ProcessBuilder builder = new ProcessBuilder(command(settings)).redirectErrorStream(true);
        builder.environment().put("JAVA_HOME", System.getProperty("java.home"));
        builder.environment().put("IBISSADDLE_JAVA_OPTS", "-XX:TieredStopAtLevel=1 -XX:+UseSerialGC -Xmx256m");
        node.process = builder.redirectOutput(ProcessBuilder.Redirect.appendTo(
                        directory.resolve(node.name + ".log").toFile()))
                .start();
    }

    private static List<String> command(Path settings) {
        String binary = System.getProperty("soak.binary", "../dist/ibissaddle");
        return List.of(Path.of(binary).toAbsolutePath().toString(), "gateway", "--config", settings.toString());
    }

    private void awaitReady(Node node) throws IOException, InterruptedException {
        Request request = new Request.Builder()
                .url("http://127.0.0.1:" + node.readiness + "/readyz")
                .build();
        long endNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(READY_TIMEOUT_S);
        while (System.nanoTime() < endNs) {
            try (Response response = connecting.newCall(request).execute()) {
                if (response.isSuccessful()) {
                    return;
                }
            } catch (IOException e) {
                // Expected: the process doesn't listen yet.
            }
            Thread.sleep(20);
        }
        throw new IOException(node.name + " isn't ready after " + READY_TIMEOUT_S + " s");
    }

    /** Returns a summary of the run. */
    Map<String, Integer> statusCounts() {
        return audit.statusCounts();
    }

    @Override
    public void close() throws IOException {
        nodes.forEach(node -> Optional.ofNullable(node.process).ifPresent(Process::destroyForcibly));
        for (StutteringServer server : servers) {
            server.close();
        }
        store.close();
        keeping.dispatcher().executorService().shutdown();
        keeping.connectionPool().evictAll();
    }
}
