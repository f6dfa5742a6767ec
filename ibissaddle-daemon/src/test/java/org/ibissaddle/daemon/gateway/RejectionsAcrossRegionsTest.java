package org.ibissaddle.daemon.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.ibissaddle.id.Address;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Servers of two regions that reject all requests; the third region has no server. */
class RejectionsAcrossRegionsTest {
    private static final String CONFIGURATION = """
            {"version":1,"routes":[
             {"name":"read","host":"h.example","pathPrefix":"/read/","kind":"idempotent","timeoutMs":3000,
              "targetLatencyMs":900,"priority":2,"service":"ledger","maxAttempts":2},
             {"name":"write","host":"h.example","pathPrefix":"/write/","kind":"non_idempotent","timeoutMs":3000,
              "targetLatencyMs":900,"priority":2,"service":"ledger","maxAttempts":1}],
             "services":[{"name":"ledger","healthPath":"/healthz"}],"limits":{}}""";
    private static final double RETRY_RATIO = 0.2;
    private static final int RETRY_SLACK = 24;
    /** Longer than a test, so that all its arrivals are in one window. */
    private static final long WINDOW_MS = 600_000;

    private static final GatewaySettings.PlatformLimits LIMITS = new GatewaySettings.PlatformLimits(
            RETRY_RATIO, WINDOW_MS, RETRY_SLACK, 4_000, 5, GatewaySettings.Revocation.DEFAULT);
    private static final int REQUESTS = 200;

    private final List<FakeBackendServer> servers = new ArrayList<>();
    private final Map<String, GatewaySettings> settings = new TreeMap<>();
    private final Map<String, Gateway> gateways = new TreeMap<>();
    private FakePlatformStore platform;
    private int nextId;

    @BeforeEach
    void start() throws IOException {
        platform = new FakePlatformStore();
        platform.put("op/config", CONFIGURATION);
        for (String region : List.of("south", "south", "east")) {
            FakeBackendServer server = new FakeBackendServer("s" + servers.size());
            servers.add(server);
            platform.put(
                    "servers/s" + (servers.size() - 1),
                    GatewayFixture.entry(server.address()).replace("north-a", region + "-a"));
        }
        List<String> names = List.of("north-1", "south-1", "south-2", "east-1");
        List<Address> peers = new ArrayList<>();
        for (int i = 0; i < names.size(); i++) {
            peers.add(GatewayFixture.freeAddress());
        }
        for (int i = 0; i < names.size(); i++) {
            List<Address> seeds = new ArrayList<>(peers);
            Address peer = seeds.remove(i);
            String name = names.get(i);
            settings.put(
                    name,
                    GatewayFixture.settings(
                            name,
                            name.substring(0, name.length() - 2),
                            GatewayFixture.freeAddress(),
                            GatewayFixture.freeAddress(),
                            peer,
                            seeds,
                            platform.address(),
                            LIMITS));
            gateways.put(name, GatewayFixture.start(settings.get(name)));
        }
        for (String name : names) {
            while (!call(name, "/read/").startsWith("HTTP/1.1 200")) {
                Thread.onSpinWait();
            }
        }
        servers.forEach(server -> {
            server.respondWith(
                    request -> FakeBackendServer.response(request, "503 Busy", "X-Not-Executed: true\r\n", ""));
            server.arrivals().clear();
        });
    }

    @AfterEach
    void stop() throws IOException {
        gateways.values().forEach(Gateway::close);
        platform.close();
        for (FakeBackendServer server : servers) {
            server.close();
        }
    }

    private String call(String instance, String path) throws IOException {
        String id = "r" + nextId++;
        return GatewayFixture.exchange(
                settings.get(instance).callerAddress(),
                "GET " + path + id + " HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: " + id
                        + "\r\nConnection: close\r\n\r\n");
    }

    private void restart(String name) throws IOException {
        gateways.get(name).close();
        gateways.put(name, GatewayFixture.start(settings.get(name)));
        GatewayFixture.awaitReadiness(settings.get(name).directoryAddress(), 200);
    }

    /** Number of arrivals at servers beyond the first of each request. */
    private long repeatedArrivals() {
        List<String> ids = servers.stream()
                .flatMap(server -> server.arrivals().stream())
                .map(request -> request.get("x-attempt-id"))
                .toList();
        return ids.size() - ids.stream().distinct().count();
    }

    // A refusal of another instance was resent for free, although servers there had rejected the request.
    @ParameterizedTest
    @ValueSource(strings = {"/read/", "/write/"})
    void shouldChargeARetryAfterServersOfAnotherRegionRejected(String path) throws IOException {
        for (int i = 0; i < REQUESTS; i++) {
            assertThat(call("north-1", path)).startsWith("HTTP/1.1 503");
        }

        assertThat(repeatedArrivals()).isLessThanOrEqualTo((long) (RETRY_RATIO * REQUESTS) + RETRY_SLACK);
    }

    // Each instance that a request passed added its fraction to the budget; the other half is for late arrivals.
    @Test
    void shouldCountAForwardedRequestOnce() throws IOException {
        // Servers that accept some requests keep their limits.
        servers.forEach(
                server -> server.respondWith(request -> request.get("path").contains("/accepted/")
                        ? FakeBackendServer.response(request, "200 OK", "X-Server-Seal: s\r\n", "hello")
                        : FakeBackendServer.response(request, "503 Busy", "X-Not-Executed: true\r\n", "")));
        for (int i = 0; i < REQUESTS; i++) {
            call("north-1", "/read/");
            call("north-1", "/read/accepted/");
        }

        assertThat(repeatedArrivals()).isLessThanOrEqualTo((long) (RETRY_RATIO * REQUESTS) + gateways.size());
    }

    @Test
    void shouldStayWithinTheBudgetWhenInstancesRestart() throws IOException {
        int requests = 0;
        for (String restarted : List.of("south-1", "south-2", "east-1", "north-1", "south-1", "south-2")) {
            for (int i = 0; i < REQUESTS / 8; i++) {
                call("north-1", "/read/");
                call("south-1", "/read/");
                requests += 2;
            }
            restart(restarted);
        }

        assertThat(repeatedArrivals()).isLessThanOrEqualTo((long) (RETRY_RATIO * requests) + RETRY_SLACK);
    }
}
