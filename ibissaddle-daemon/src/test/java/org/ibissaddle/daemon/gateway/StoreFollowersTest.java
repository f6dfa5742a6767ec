package org.ibissaddle.daemon.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.ibissaddle.daemon.gateway.GatewayFixture.call;
import static org.ibissaddle.daemon.gateway.GatewayFixture.freeAddress;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.ibissaddle.id.Address;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests six instances of a zone, of which two watch the store. */
@Timeout(60)
class StoreFollowersTest {
    private static final int INSTANCES = 6;
    private static final String CONFIGURATION = """
            {"version":%d,"routes":[
             {"name":"any","host":"h.example","pathPrefix":"/%s/","kind":"idempotent","timeoutMs":3000,
              "targetLatencyMs":900,"priority":0,"service":"ledger","maxAttempts":2}],
             "services":[{"name":"ledger","healthPath":"/healthz"}],"limits":{}}""";

    private final List<Node> nodes = new ArrayList<>();
    private FakePlatformStore platform;
    private FakeBackendServer server;

    private record Node(Gateway gateway, Address caller, ByteArrayOutputStream log) {
        boolean follows() {
            String text = log.toString(StandardCharsets.UTF_8);
            return text.lastIndexOf("store-followed") > text.lastIndexOf("store-read ");
        }
    }

    @BeforeEach
    void start() throws IOException {
        platform = new FakePlatformStore();
        server = new FakeBackendServer("s1");
        platform.put("op/config", CONFIGURATION.formatted(1, "first"));
        platform.put("servers/s1", GatewayFixture.entry(server.address()));
        Address seed = freeAddress();
        for (int i = 0; i < INSTANCES; i++) {
            Address caller = freeAddress();
            Address peer = i == 0 ? seed : freeAddress();
            ByteArrayOutputStream log = new ByteArrayOutputStream();
            GatewaySettings settings = GatewayFixture.settings(
                    "north-" + i, "north", caller, freeAddress(), peer, List.of(seed), platform.address());
            nodes.add(new Node(
                    Gateway.start(settings, () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime()), log), caller, log));
        }
        awaitFollowers(INSTANCES - 2);
    }

    @AfterEach
    void stop() throws IOException {
        nodes.forEach(node -> node.gateway.close());
        platform.close();
        server.close();
    }

    private void awaitFollowers(int count) {
        while (nodes.stream().filter(Node::follows).count() != count) {
            Thread.onSpinWait();
        }
    }

    private void awaitAnswers(String path) throws IOException {
        for (Node node : nodes) {
            while (!call(node.caller, "GET", path, "", "").startsWith("HTTP/1.1 200")) {
                Thread.onSpinWait();
            }
        }
    }

    private static long nowMs() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    @Test
    void shouldApplyChangesEverywhereWithinASecond() throws IOException {
        long changedMs = nowMs();
        platform.put("op/config", CONFIGURATION.formatted(2, "second"));
        awaitAnswers("/second/7");

        assertThat(nowMs() - changedMs).isLessThan(1_000);
        assertThat(nodes.stream().filter(Node::follows)).hasSize(INSTANCES - 2);
    }

    // Guards against instances that never learn of a change because those that they follow are gone.
    @Test
    void shouldApplyChangesWithinFiveSecondsAfterBothReadersDied() throws IOException {
        List<Node> readers = nodes.stream().filter(node -> !node.follows()).toList();
        readers.forEach(node -> node.gateway.close());
        nodes.removeAll(readers);
        long changedMs = nowMs();
        platform.put("op/config", CONFIGURATION.formatted(2, "second"));
        awaitAnswers("/second/7");

        assertThat(nowMs() - changedMs).isLessThan(5_000);
        awaitFollowers(INSTANCES - 4);
    }

    // Guards against followers that lose a server whose entry expired in an outage which only the readers noticed.
    @Test
    void shouldKeepServersWhoseEntriesExpiredInAnOutage() throws Exception {
        platform.setDown(true);
        Thread.sleep(3_000);
        platform.remove("servers/s1");
        platform.setDown(false);
        Thread.sleep(1_000);
        platform.put("servers/s1", GatewayFixture.entry(server.address()));

        for (int i = 0; i < 200; i++) {
            for (Node node : nodes) {
                assertThat(call(node.caller, "GET", "/first/7", "", "")).startsWith("HTTP/1.1 200");
            }
        }
        awaitFollowers(INSTANCES - 2);
    }
}
