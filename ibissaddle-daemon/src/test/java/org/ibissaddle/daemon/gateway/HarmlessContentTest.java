package org.ibissaddle.daemon.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;
import org.ibissaddle.id.Address;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Guards against refusing a request as crashing although none of the servers that failed to answer it has crashed. */
@Timeout(60)
class HarmlessContentTest {
    private static final String CONFIGURATION = """
            {"version":1,"routes":[
             {"name":"any","host":"h.example","pathPrefix":"/any/","kind":"idempotent","timeoutMs":3000,
              "targetLatencyMs":900,"priority":2,"service":"ledger","maxAttempts":1}],
             "services":[{"name":"ledger","healthPath":"/healthz"}],"limits":{}}""";
    private static final String TARGET = "/any/lot-4471";
    private static final int SERVERS = 4;
    private static final int REQUESTS = 8;
    /** Step of the clock between two requests, so that their failures are independent, milliseconds. */
    private static final long REQUEST_INTERVAL_MS = 250;

    private final AtomicLong clockOffsetMs = new AtomicLong();
    private final AtomicInteger requests = new AtomicInteger();
    private final ByteArrayOutputStream log = new ByteArrayOutputStream();
    private final List<FakeBackendServer> servers = new ArrayList<>();
    private int changes;
    private FakePlatformStore platform;
    private Gateway gateway;
    private Address caller;

    /** A way in which a server fails to answer without having crashed. */
    enum Failure {
        RESET,
        CLOSED,
        MALFORMED,
        CUT_HEAD,
        SECOND_HEAD_CUT;

        String response(Map<String, String> request) {
            return switch (this) {
                case RESET -> FakeBackendServer.RESET;
                case CLOSED -> FakeBackendServer.CLOSE;
                case MALFORMED -> "no response at all\r\n\r\n";
                case CUT_HEAD -> "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + FakeBackendServer.CLOSE;
                case SECOND_HEAD_CUT -> unframed(request) + "HTTP/1.1 200 OK\r\nX-Att" + FakeBackendServer.CLOSE;
            };
        }
    }

    @BeforeEach
    void start() throws IOException {
        platform = new FakePlatformStore();
        platform.put("op/config", CONFIGURATION);
        for (int i = 1; i <= SERVERS; i++) {
            FakeBackendServer server = new FakeBackendServer("s" + i);
            servers.add(server);
            publish(i, 6, 1);
        }
        caller = GatewayFixture.freeAddress();
        GatewaySettings settings = GatewayFixture.settings(
                "north-1",
                "north",
                caller,
                GatewayFixture.freeAddress(),
                GatewayFixture.freeAddress(),
                List.of(),
                platform.address());
        gateway = Gateway.start(
                settings, () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime()) + clockOffsetMs.get(), log);
        while (!call("/any/warm").startsWith("HTTP/1.1 200")) {
            Thread.onSpinWait();
        }
    }

    @AfterEach
    void stop() throws IOException {
        gateway.close();
        platform.close();
        for (FakeBackendServer server : servers) {
            server.close();
        }
    }

    private static String unframed(Map<String, String> request) {
        return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + request.get("x-attempt-id") + "\r\nX-Server-Seal: s\r\n\r\nhello";
    }

    private void publish(int number, int slots, long startedMs) {
        platform.put(
                "servers/s" + number, """
                {"service":"ledger","address":"%s","zone":"north-a","slots":%d,"state":"ready","coldLeftMs":0,
                 "seq":%d,"born":%d}""".formatted(servers.get(number - 1).address(), slots, ++changes, startedMs));
    }

    /** Makes a server the one with the most free slots, so that it receives the next request. */
    private void prefer(int number, long startedMs) {
        for (int i = 1; i <= SERVERS; i++) {
            publish(i, i == number ? 60 : 6, startedMs);
        }
        while (!logs("revision=" + (changes + 1) + "\n")) {
            Thread.onSpinWait();
        }
    }

    private String call(String path) throws IOException {
        clockOffsetMs.addAndGet(REQUEST_INTERVAL_MS);
        return GatewayFixture.exchange(
                caller,
                "GET " + path + " HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: r" + requests.incrementAndGet()
                        + "\r\nConnection: close\r\n\r\n");
    }

    private boolean logs(String text) {
        return log.toString(StandardCharsets.UTF_8).contains(text);
    }

    private void respondToTarget(Function<Map<String, String>, String> response) {
        servers.forEach(
                server -> server.respondWith(request -> request.get("path").equals(TARGET)
                        ? response.apply(request)
                        : FakeBackendServer.response(request, "200 OK", "X-Server-Seal: s\r\n", "hello")));
    }

    /** Guards against taking each broken connection for a crash, such as after resets in the network. */
    @ParameterizedTest
    @EnumSource(Failure.class)
    void shouldServeARequestWhoseConnectionsBroke(Failure failure) throws IOException {
        respondToTarget(failure::response);
        for (int i = 0; i < REQUESTS; i++) {
            prefer(1 + i % SERVERS, 1);
            call(TARGET);
        }

        respondToTarget(request -> FakeBackendServer.response(request, "200 OK", "X-Server-Seal: s\r\n", "hello"));

        assertThat(call(TARGET)).startsWith("HTTP/1.1 200");
        assertThat(logs("request-content-refused")).isFalse();
    }

    /** Guards against blaming a request for servers that send late responses to earlier requests. */
    @Test
    void shouldServeARequestWhoseResponsesContainThoseToOthers() throws IOException {
        Map<String, String> earlierIds = new ConcurrentHashMap<>();
        servers.forEach(server -> server.respondWith(request -> {
            String connection = request.get(FakeBackendServer.CONNECTION);
            String earlier = earlierIds.put(connection, request.get("x-attempt-id"));
            return request.get("path").equals(TARGET) && earlier != null
                    ? unframed(request)
                            + FakeBackendServer.PAUSE
                            + FakeBackendServer.response(
                                    Map.of("x-attempt-id", earlier), "200 OK", "X-Server-Seal: s\r\n", "hello")
                    : FakeBackendServer.response(request, "200 OK", "X-Server-Seal: s\r\n", "hello");
        }));
        for (int i = 0; i < REQUESTS; i++) {
            prefer(1 + i % SERVERS, 1);
            call("/any/warm");
            call(TARGET);
        }

        assertThat(log.toString(StandardCharsets.UTF_8)).contains("response to another request within the body");
        assertThat(logs("request-content-refused")).isFalse();
    }

    /** Guards against a request that goes on crashing servers which restart before they are checked. */
    @Test
    void shouldRefuseARequestWhoseServersRestart() throws IOException {
        AtomicInteger crashes = new AtomicInteger();
        respondToTarget(request -> {
            crashes.incrementAndGet();
            return FakeBackendServer.RESET;
        });
        for (int i = 0; i < REQUESTS && !logs("request-content-refused"); i++) {
            prefer(1 + i % SERVERS, 1 + i);
            call(TARGET);
        }
        prefer(1, 1 + REQUESTS);

        assertThat(logs("request-content-refused")).isTrue();
        assertThat(call(TARGET)).startsWith("HTTP/1.1 503");
        assertThat(crashes.get()).isBetween(3, 6);
    }
}
