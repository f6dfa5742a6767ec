package org.ibissaddle.daemon.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.ibissaddle.daemon.gateway.GatewayFixture.call;
import static org.ibissaddle.daemon.gateway.GatewayFixture.freeAddress;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.ibissaddle.id.Address;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Load pattern: the store comes back from a copy some seconds old while requests go on. */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class StoreEraTest {
    private static final String ROUTE = """
            {"name":"%1$s","host":"h.example","pathPrefix":"/%1$s/","kind":"idempotent","timeoutMs":3000,
             "targetLatencyMs":900,"priority":0,"service":"ledger","maxAttempts":2}""";
    /** Time after its return in which servers publish themselves again, and some time for the removal. */
    private static final long JUDGED_MS = 3_500;
    /** A list and an answered watch for each instance, and one more for a call that was under way. */
    private static final int MAX_LISTS_PER_INSTANCE = 2;

    private static final int INSTANCES = 5;

    private final List<Gateway> gateways = new ArrayList<>();
    private final List<Address> callers = new ArrayList<>();
    private final List<FakeBackendServer> servers = new ArrayList<>();
    private FakePlatformStore platform;
    private int copy;

    /** How the store comes back. */
    enum Return {
        /** Its revisions are behind those that the instances know. */
        BEHIND,
        /** It has passed them again before an instance asks. */
        PAST,
        /** Its connections are broken, and it is away for a moment. */
        AWAY
    }

    @BeforeEach
    void start() throws IOException {
        platform = new FakePlatformStore();
        publishConfiguration(1, "any");
        publish(0, 5);
        copy = platform.revision();
        publish(1, 5);
        publishConfiguration(2, "any", "added");
        Address seed = freeAddress();
        for (int i = 0; i < INSTANCES; i++) {
            Address caller = freeAddress();
            Address peer = i == 0 ? seed : freeAddress();
            callers.add(caller);
            gateways.add(GatewayFixture.start(GatewayFixture.settings(
                    "north-" + i, "north", caller, freeAddress(), peer, List.of(seed), platform.address())));
        }
        awaitEverywhere("/added/1");
    }

    @AfterEach
    void stop() throws IOException {
        gateways.forEach(Gateway::close);
        platform.close();
        for (FakeBackendServer server : servers) {
            server.close();
        }
    }

    private void publishConfiguration(int version, String... routes) {
        List<String> rules = List.of(routes).stream().map(ROUTE::formatted).toList();
        platform.put(
                "op/config",
                "{\"version\":%d,\"routes\":[%s],\"services\":[{\"name\":\"ledger\",\"healthPath\":\"/healthz\"}],\"limits\":{}}"
                        .formatted(version, String.join(",", rules)));
    }

    private void publish(int server, int sequence) throws IOException {
        if (server >= servers.size()) {
            servers.add(new FakeBackendServer("s" + server));
        }
        platform.put(
                "servers/s" + server,
                "{\"service\":\"ledger\",\"address\":\"%s\",\"zone\":\"north-a\",\"slots\":60,\"state\":\"ready\",\"coldLeftMs\":0,\"seq\":%d,\"born\":1700000000000}"
                        .formatted(servers.get(server).address(), sequence));
    }

    private void awaitEverywhere(String path) throws IOException {
        for (Address caller : callers) {
            while (!call(caller, "GET", path, "", "").startsWith("HTTP/1.1 200")) {
                Thread.onSpinWait();
            }
        }
    }

    private void assertServed(String path) throws IOException {
        for (Address caller : callers) {
            assertThat(call(caller, "GET", path, "", "")).startsWith("HTTP/1.1 200");
        }
    }

    private void comeBack(Return how) throws Exception {
        if (how == Return.AWAY) {
            platform.setDown(true);
            Thread.sleep(TimeUnit.SECONDS.toMillis(1));
        }
        int known = platform.revision();
        platform.restoreCopy(copy);
        for (int sequence = 6; how == Return.PAST && platform.revision() <= known; sequence++) {
            publish(0, sequence);
        }
        platform.setDown(false);
    }

    private static long nowMs() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    @ParameterizedTest
    @EnumSource
    void shouldHoldWhatTheStoreHoldsAfterwards(Return how) throws Exception {
        int listsBefore = platform.lists();
        comeBack(how);
        long untilMs = nowMs() + JUDGED_MS;
        while (nowMs() < untilMs) {
            assertServed("/any/1");
            assertServed("/added/1");
        }
        int arrivals = servers.get(1).arrivals().size();
        for (int i = 0; i < 20; i++) {
            assertServed("/any/1");
        }

        assertThat(servers.get(1).arrivals())
                .as("requests to a server that the store lost")
                .hasSize(arrivals);
        assertThat(platform.lists() - listsBefore).isLessThanOrEqualTo(INSTANCES * MAX_LISTS_PER_INSTANCE);
        publishConfiguration(3, "any", "added", "later");
        awaitEverywhere("/later/1");
        publish(2, 1);
        while (servers.get(2).arrivals().isEmpty()) {
            assertServed("/any/1");
        }
    }

    @Test
    void shouldKeepAServerThatPublishesItselfAgain() throws Exception {
        comeBack(Return.BEHIND);
        publish(1, 6);
        long untilMs = nowMs() + JUDGED_MS;
        while (nowMs() < untilMs) {
            assertServed("/any/1");
        }
        int arrivals = servers.get(1).arrivals().size();
        while (servers.get(1).arrivals().size() == arrivals) {
            assertServed("/any/1");
        }
    }

    /** Guards against instances that miss a second return before they have noticed the first. */
    @Test
    void shouldFollowAStoreThatComesBackTwice() throws Exception {
        comeBack(Return.BEHIND);
        publishConfiguration(2, "any", "added");
        comeBack(Return.AWAY);
        publishConfiguration(3, "any", "added", "later");

        awaitEverywhere("/later/1");
        assertServed("/added/1");
    }
}
