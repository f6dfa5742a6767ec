package org.ibissaddle.daemon.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.ibissaddle.daemon.gateway.GatewayFixture.call;
import static org.ibissaddle.daemon.gateway.GatewayFixture.freeAddress;

import java.io.IOException;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import org.ibissaddle.id.Address;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(60)
class StoreWatcherTest {
    /** Longer than the minimum duration of failures that counts as an outage. */
    private static final long LONG_MS = 1_000;

    private final AtomicLong nowMs = new AtomicLong(1_000_000);
    private final List<FakeBackendServer> servers = new ArrayList<>();
    private FakePlatformStore platform;
    private Gateway gateway;
    private Address caller;

    @BeforeEach
    void start() throws IOException {
        platform = new FakePlatformStore();
        platform.put("op/config", """
                {"version":1,"routes":[
                 {"name":"any","host":"h.example","pathPrefix":"/any/","kind":"idempotent","timeoutMs":9000,
                  "targetLatencyMs":9000,"priority":0,"service":"ledger","maxAttempts":1}],
                 "services":[{"name":"ledger","healthPath":"/healthz"}],"limits":{}}""");
        addServer();
        caller = freeAddress();
        Address directory = freeAddress();
        gateway = Gateway.start(
                GatewayFixture.settings(
                        "north-1", "north", caller, directory, freeAddress(), List.of(), platform.address()),
                nowMs::get,
                OutputStream.nullOutputStream());
        GatewayFixture.awaitReadiness(directory, 200);
    }

    @AfterEach
    void stop() throws IOException {
        gateway.close();
        platform.close();
        for (FakeBackendServer server : servers) {
            server.close();
        }
    }

    private void addServer() throws IOException {
        FakeBackendServer server = new FakeBackendServer("s" + servers.size());
        servers.add(server);
        platform.put("servers/s" + (servers.size() - 1), GatewayFixture.entry(server.address()));
    }

    private void request() throws IOException {
        assertThat(call(caller, "GET", "/any/1", "", "")).startsWith("HTTP/1.1 200");
    }

    // Guards against removed servers receiving requests while the store ends waiting watches.
    @Test
    void shouldApplyRemovalsAtOnceWhenWatchesAreCut() throws Exception {
        for (int removed = 0; removed < 3; removed++) {
            platform.cutWaitingWatches();
            platform.awaitWaitingWatch();
            nowMs.addAndGet(LONG_MS);
            platform.remove("servers/s" + removed);
            addServer();
            platform.awaitWaitingWatch();
            int arrivals = servers.get(removed).arrivals().size();
            for (int i = 0; i < 20; i++) {
                request();
            }

            assertThat(servers.get(removed).arrivals())
                    .as("requests to s%d", removed)
                    .hasSize(arrivals);
        }
    }

    @Test
    void shouldKeepServersWhoseEntriesExpiredInAnOutage() throws Exception {
        platform.awaitWaitingWatch();
        int watches = platform.watches();
        platform.setDown(true);
        while (platform.watches() == watches) {
            Thread.onSpinWait();
        }
        nowMs.addAndGet(LONG_MS);
        platform.remove("servers/s0");
        platform.setDown(false);
        platform.awaitWaitingWatch();

        request();
        assertThat(servers.getFirst().arrivals()).hasSize(1);
    }
}
