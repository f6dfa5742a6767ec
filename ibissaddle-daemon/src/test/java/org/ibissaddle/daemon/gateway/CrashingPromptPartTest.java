package org.ibissaddle.daemon.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.ibissaddle.id.Address;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against sending a prompt part that crashes servers to one server after the other. */
class CrashingPromptPartTest {
    private static final String CONFIGURATION = """
            {"version":1,"routes":[
             {"name":"chat","host":"h.example","pathPrefix":"/chat/","kind":"streaming","timeoutMs":3000,
              "targetLatencyMs":900,"priority":0,"service":"engines","maxAttempts":2,"resumable":true}],
             "services":[{"name":"engines","healthPath":"/healthz"}],"limits":{}}""";
    private static final String CRASHING_PART = "bad1";
    private static final String SOUND_PART = "50d1";
    /** Requests that may reach servers: five until the part is known, and three more. */
    private static final int MAX_ARRIVALS = 8;
    /** Step of the clock between two requests, so that their crashes are independent, milliseconds. */
    private static final long REQUEST_INTERVAL_MS = 250;

    private final AtomicLong clockOffsetMs = new AtomicLong();
    private final AtomicInteger requests = new AtomicInteger();
    private final AtomicInteger servers = new AtomicInteger();
    private final ConcurrentLinkedQueue<FakeBackendServer> started = new ConcurrentLinkedQueue<>();
    private final List<Instance> instances = new ArrayList<>();
    private FakePlatformStore platform;

    private record Instance(Gateway gateway, Address caller, Address peer, ByteArrayOutputStream log) {
        boolean knows(String part) {
            return log.toString(StandardCharsets.UTF_8).contains("event=prompt-part-refused instance=")
                    && log.toString(StandardCharsets.UTF_8).contains("part=" + part);
        }
    }

    @BeforeEach
    void start() throws IOException {
        platform = new FakePlatformStore();
        platform.put("op/config", CONFIGURATION);
        for (String region : List.of("north", "north", "south", "south")) {
            startServer(region);
        }
    }

    @AfterEach
    void stop() throws IOException {
        instances.forEach(instance -> instance.gateway().close());
        platform.close();
        for (FakeBackendServer server : started) {
            server.close();
        }
    }

    /** Starts a server that crashes on the part and is then replaced by a new one. */
    private void startServer(String region) {
        String id = "s" + servers.incrementAndGet();
        try {
            FakeBackendServer server = new FakeBackendServer(id);
            server.respondWith(request -> respond(request, region));
            started.add(server);
            platform.put("servers/" + id, """
                    {"service":"engines","address":"%s","zone":"%s-a","slots":6,"state":"ready","coldLeftMs":0,
                     "seq":1}""".formatted(server.address(), region));
        } catch (IOException e) {
            throw new UncheckedIOException("cannot start server " + id, e);
        }
    }

    private String respond(Map<String, String> request, String region) {
        if (request.get("x-prompt-prefix").contains(CRASHING_PART)) {
            startServer(region);
            return FakeBackendServer.CRASH;
        }
        return FakeBackendServer.response(
                request, "200 OK", "X-Server-Seal: s\r\nContent-Type: text/event-stream\r\n", "id: 1\ndata: a\n\n");
    }

    private Instance startInstance(String name, String region, List<Address> seeds) throws IOException {
        Address caller = GatewayFixture.freeAddress();
        Address peer = GatewayFixture.freeAddress();
        ByteArrayOutputStream log = new ByteArrayOutputStream();
        GatewaySettings settings = GatewayFixture.settings(
                name, region, caller, GatewayFixture.freeAddress(), peer, seeds, platform.address());
        Gateway gateway = Gateway.start(
                settings, () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime()) + clockOffsetMs.get(), log);
        Instance instance = new Instance(gateway, caller, peer, log);
        instances.add(instance);
        while (!call(instance, SOUND_PART).startsWith("HTTP/1.1 200")) {
            Thread.onSpinWait();
        }
        return instance;
    }

    /** Sends a request that differs from all others, but shares its first part and the given one with some. */
    private String call(Instance instance, String part) throws IOException {
        clockOffsetMs.addAndGet(REQUEST_INTERVAL_MS);
        int number = requests.incrementAndGet();
        String headers = "X-Model: m\r\nX-Token-Usage: 120,20\r\nX-Prompt-Prefix: f125:60," + part + ":20,a"
                + Integer.toHexString(number) + ":40\r\n";
        return GatewayFixture.call(instance.caller(), "GET", "/chat/" + number, headers, "");
    }

    private long arrivals() {
        return started.stream()
                .flatMap(server -> server.arrivals().stream())
                .filter(request -> request.get("x-prompt-prefix").contains(CRASHING_PART))
                .count();
    }

    private void crashServers(Instance instance) throws IOException {
        for (int i = 0; i < 2 * MAX_ARRIVALS; i++) {
            call(instance, CRASHING_PART);
            call(instance, SOUND_PART);
        }
        assertThat(arrivals()).isLessThanOrEqualTo(MAX_ARRIVALS);
    }

    @Test
    void shouldStopSendingAPartThatCrashesServers() throws IOException {
        Instance north = startInstance("north-1", "north", List.of());

        crashServers(north);
        long before = arrivals();

        assertThat(call(north, CRASHING_PART)).startsWith("HTTP/1.1 503").containsIgnoringCase("Retry-After");
        assertThat(arrivals()).isEqualTo(before);
        assertThat(call(north, SOUND_PART)).startsWith("HTTP/1.1 200");
    }

    @Test
    void shouldNotSendAPartThatCrashedServersOfAnotherInstance() throws IOException {
        Instance north = startInstance("north-1", "north", List.of());
        Instance south = startInstance("south-1", "south", List.of(north.peer()));

        crashServers(north);
        while (!south.knows(CRASHING_PART)) {
            Thread.onSpinWait();
        }
        long before = arrivals();

        assertThat(call(south, CRASHING_PART)).startsWith("HTTP/1.1 503");
        assertThat(arrivals()).isEqualTo(before);
        assertThat(call(south, SOUND_PART)).startsWith("HTTP/1.1 200");
    }

    /** Guards against an instance that knows nothing of earlier crashes because it has just started. */
    @Test
    void shouldNotSendAPartThatCrashedServersBeforeTheInstanceStarted() throws IOException {
        Instance north = startInstance("north-1", "north", List.of());
        crashServers(north);

        Instance south = startInstance("south-1", "south", List.of(north.peer()));
        while (!south.knows(CRASHING_PART)) {
            Thread.onSpinWait();
        }
        long before = arrivals();

        assertThat(call(south, CRASHING_PART)).startsWith("HTTP/1.1 503");
        assertThat(arrivals()).isEqualTo(before);
    }
}
