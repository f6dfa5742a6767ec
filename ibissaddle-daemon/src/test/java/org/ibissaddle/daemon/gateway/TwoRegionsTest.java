package org.ibissaddle.daemon.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.ibissaddle.daemon.gateway.GatewayFixture.freeAddress;

import java.io.IOException;
import java.util.List;
import org.ibissaddle.id.Address;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests two instances in two regions, of which only the south has a server. */
class TwoRegionsTest {
    private static final String CONFIGURATION = """
            {"version":%d,"routes":[
             {"name":"anywhere","host":"h.example","pathPrefix":"/%s/","kind":"idempotent","timeoutMs":3000,
              "targetLatencyMs":900,"priority":2,"service":"ledger","maxAttempts":2},
             {"name":"bound","host":"h.example","pathPrefix":"/bound/","kind":"idempotent","timeoutMs":3000,
              "targetLatencyMs":900,"priority":2,"service":"ledger","maxAttempts":2,"homeRegions":["north"]}],
             "services":[{"name":"ledger","healthPath":"/healthz"}],"limits":{}}""";
    private static final String ENTRY = """
            {"service":"ledger","address":"%s","zone":"south-a","slots":6,"state":"%s","coldLeftMs":0,"seq":1}""";

    private FakePlatformStore platform;
    private FakeBackendServer server;
    private Gateway north;
    private Gateway south;
    private Address caller;

    @BeforeEach
    void start() throws IOException {
        platform = new FakePlatformStore();
        server = new FakeBackendServer("s1");
        platform.put("op/config", CONFIGURATION.formatted(1, "first"));
        platform.put("servers/s1", ENTRY.formatted(server.address(), "ready"));
        Address northPeer = freeAddress();
        Address southPeer = freeAddress();
        caller = freeAddress();
        north = start("north", caller, northPeer, southPeer);
        south = start("south", freeAddress(), southPeer, northPeer);
    }

    @AfterEach
    void stop() throws IOException {
        north.close();
        south.close();
        platform.close();
        server.close();
    }

    private Gateway start(String region, Address callers, Address peer, Address seed) throws IOException {
        return GatewayFixture.start(region, callers, freeAddress(), peer, List.of(seed), platform.address());
    }

    private String call(String path) throws IOException {
        return GatewayFixture.call(caller, "GET", path, "", "");
    }

    private void callUntil(String path, String answer) throws IOException {
        while (!call(path).startsWith(answer)) {
            Thread.onSpinWait();
        }
    }

    @Test
    void shouldForwardARequestToTheRegionOfItsServers() throws IOException {
        callUntil("/first/7", "HTTP/1.1 200");

        assertThat(server.arrivals())
                .isNotEmpty()
                .allSatisfy(request -> assertThat(request)
                        .containsEntry("x-expect-instance", "s1")
                        .containsEntry("x-attempt-id", "7"));
    }

    @Test
    void shouldNotForwardARequestOutsideItsHomeRegions() throws IOException {
        callUntil("/first/7", "HTTP/1.1 200");
        server.arrivals().clear();

        assertThat(call("/bound/7")).startsWith("HTTP/1.1 503");
        assertThat(server.arrivals()).isEmpty();
    }

    @Test
    void shouldApplyANewConfigurationInBothRegions() throws IOException {
        callUntil("/first/7", "HTTP/1.1 200");

        platform.put("op/config", CONFIGURATION.formatted(2, "second"));

        callUntil("/second/7", "HTTP/1.1 200");
        callUntil("/first/7", "HTTP/1.1 404");
    }

    @Test
    void shouldSendNothingToADrainingServerOfAnotherRegion() throws IOException {
        callUntil("/first/7", "HTTP/1.1 200");
        platform.put("servers/s1", ENTRY.formatted(server.address(), "draining"));
        callUntil("/first/7", "HTTP/1.1 503");
        server.arrivals().clear();

        assertThat(call("/first/7")).startsWith("HTTP/1.1 503");
        assertThat(server.arrivals()).isEmpty();
    }

    @Test
    void shouldRefuseAsNotRunWhenTheOtherRegionIsUnavailable() throws IOException {
        callUntil("/first/7", "HTTP/1.1 200");
        south.close();
        callUntil("/first/7", "HTTP/1.1 503");
        server.arrivals().clear();

        assertThat(call("/first/7")).startsWith("HTTP/1.1 503");
        assertThat(server.arrivals()).isEmpty();
    }
}
