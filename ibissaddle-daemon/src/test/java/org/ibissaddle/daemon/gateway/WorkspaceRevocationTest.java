package org.ibissaddle.daemon.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.ibissaddle.daemon.gateway.GatewayFixture.call;
import static org.ibissaddle.daemon.gateway.GatewayFixture.freeAddress;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.ibissaddle.id.Address;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests keys that are revoked while their requests are held by an instance. */
class WorkspaceRevocationTest {
    private static final String KEY = "Authorization: Token key-yards\r\n";
    private static final String OTHER_KEY = "Authorization: Token key-docks\r\n";
    private static final String DOCKS = "{\"name\":\"docks\",\"apiKeys\":[\"key-docks\"]}";
    private static final String BOTH = "{\"name\":\"yards\",\"apiKeys\":[\"key-yards\"]}," + DOCKS;
    private static final long REVOKE_MS = 700;

    private FakePlatformStore platform;
    private FakeBackendServer first;
    private FakeBackendServer second;
    private Gateway gateway;
    private Address caller;

    @BeforeEach
    void start() throws IOException {
        platform = new FakePlatformStore();
        first = new FakeBackendServer("s1");
        second = new FakeBackendServer("s2");
        publish(1, BOTH);
        platform.put("servers/s1", entry(first));
    }

    @AfterEach
    void stop() throws IOException {
        gateway.close();
        platform.close();
        first.close();
        second.close();
    }

    private void startGateway(boolean strict) throws IOException {
        caller = freeAddress();
        Address directory = freeAddress();
        gateway = GatewayFixture.start(GatewayFixture.settings(
                "north-1",
                "north",
                caller,
                directory,
                freeAddress(),
                List.of(),
                platform.address(),
                new GatewaySettings.PlatformLimits(
                        0.2, 10_000, 1_000, 4_000, 5, new GatewaySettings.Revocation(strict, REVOKE_MS))));
        GatewayFixture.awaitReadiness(directory, 200);
    }

    private static String entry(FakeBackendServer server) {
        return "{\"service\":\"ledger\",\"address\":\"" + server.address()
                + "\",\"zone\":\"north-a\",\"slots\":1,\"state\":\"ready\",\"coldLeftMs\":0,\"seq\":1}";
    }

    private void publish(int version, String workspaces) {
        platform.put("op/config", """
                {"version":%d,"routes":[
                 {"name":"any","host":"h.example","pathPrefix":"/any/","kind":"idempotent","timeoutMs":9000,
                  "targetLatencyMs":7000,"priority":3,"service":"ledger","maxAttempts":2},
                 {"name":"open","host":"h.example","pathPrefix":"/open/","kind":"idempotent","timeoutMs":9000,
                  "targetLatencyMs":7000,"priority":3,"service":"ledger","maxAttempts":2,"public":true}],
                 "services":[{"name":"ledger","healthPath":"/healthz"}],"limits":{},"tenants":[%s]}""".formatted(version, workspaces));
    }

    private String get(String path, String headers) throws IOException {
        return call(caller, "GET", path, headers, "");
    }

    private void awaitRevocation() {
        try {
            while (!get("/any/probe", KEY).startsWith("HTTP/1.1 401")) {
                Thread.onSpinWait();
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Guards against a queued request that reaches a server after its key was revoked. */
    @Test
    void shouldRefuseAQueuedRequestWhoseKeyIsRevoked() throws Exception {
        startGateway(false);
        CountDownLatch release = new CountDownLatch(1);
        CountDownLatch running = new CountDownLatch(1);
        first.respondWith(request -> {
            running.countDown();
            await(release);
            return FakeBackendServer.response(request, "200 OK", "X-Server-Seal: s\r\n", "done");
        });
        try (var threads = Executors.newVirtualThreadPerTaskExecutor()) {
            Future<String> blocking = threads.submit(() -> get("/any/blocking", OTHER_KEY));
            running.await();
            Future<String> queued = threads.submit(() -> get("/any/queued", KEY));
            assertThat(queued.state()).isEqualTo(Future.State.RUNNING);

            publish(2, DOCKS);

            assertThat(queued.get(5, TimeUnit.SECONDS)).startsWith("HTTP/1.1 401");
            release.countDown();
            assertThat(blocking.get()).startsWith("HTTP/1.1 200");
        }
        assertThat(first.arrivals()).hasSize(1);
    }

    /** Guards against a retry with a revoked key. */
    @Test
    void shouldNotRetryARequestWhoseKeyIsRevoked() throws IOException {
        startGateway(false);
        platform.put("servers/s2", entry(second));
        for (FakeBackendServer server : List.of(first, second)) {
            server.respondWith(request -> {
                if (request.get("path").equals("/any/probe")) {
                    return FakeBackendServer.response(request, "200 OK", "X-Server-Seal: s\r\n", "probe");
                }
                publish(2, DOCKS);
                awaitRevocation();
                return FakeBackendServer.RESET;
            });
        }

        assertThat(get("/any/7", KEY)).startsWith("HTTP/1.1 502");
        assertThat(Stream.concat(first.arrivals().stream(), second.arrivals().stream())
                        .filter(request -> request.get("path").equals("/any/7")))
                .hasSize(1);
    }

    /** Guards against a key that stays valid on a connection that was open before it was revoked. */
    @Test
    void shouldServeANewKeyAndRefuseARevokedOne() throws IOException {
        startGateway(false);
        assertThat(get("/any/1", KEY)).startsWith("HTTP/1.1 200");

        publish(2, "{\"name\":\"yards\",\"apiKeys\":[\"key-new\"]}");
        awaitRevocation();

        assertThat(get("/any/1", "Authorization: Token key-new\r\n")).startsWith("HTTP/1.1 200");
        publish(1, BOTH);
        assertThat(get("/any/1", KEY)).startsWith("HTTP/1.1 401");
    }

    /** Guards against a partitioned instance that serves revoked keys for as long as the partition lasts. */
    @Test
    void shouldRefuseKeysAfterTheRevocationTimeOfAPartitionIfStrict() throws IOException {
        startGateway(true);
        assertThat(get("/any/1", KEY)).startsWith("HTTP/1.1 200");

        platform.setDown(true);
        while (!get("/any/1", KEY).startsWith("HTTP/1.1 503")) {
            Thread.onSpinWait();
        }

        assertThat(get("/open/1", "")).startsWith("HTTP/1.1 200");
        platform.setDown(false);
        while (!get("/any/1", KEY).startsWith("HTTP/1.1 200")) {
            Thread.onSpinWait();
        }
    }

    /** Guards against rejections of an instance that watches a store in which nothing changes. */
    @Test
    void shouldServeKeysWhileTheStoreAnswersIfStrict() throws IOException {
        startGateway(true);
        long untilNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(3 * REVOKE_MS);
        while (System.nanoTime() < untilNanos) {
            assertThat(get("/any/1", KEY)).startsWith("HTTP/1.1 200");
        }
    }

    private static void await(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
