package org.ibissaddle.daemon.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.ibissaddle.daemon.gateway.GatewayFixture.call;
import static org.ibissaddle.daemon.gateway.GatewayFixture.freeAddress;

import java.io.IOException;
import java.util.List;
import org.ibissaddle.id.Address;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests workspaces of requests that are forwarded between two regions, each with a server and a store of its own. */
class WorkspaceRegionsTest {
    private static final String KEYS = """
            {"name":"south-only","apiKeys":["key-south"],"homeRegions":["south"]},
            {"name":"north-only","apiKeys":["key-north"],"homeRegions":["north"]}""";
    private static final String NEWER = KEYS + """
            ,{"name":"new","apiKeys":["key-new"],"homeRegions":["south"]}""";

    private FakePlatformStore northStore;
    private FakePlatformStore southStore;
    private FakeBackendServer northServer;
    private FakeBackendServer southServer;
    private Gateway north;
    private Gateway south;
    private Address caller;
    private Address southCaller;
    private Address southPeer;

    @BeforeEach
    void start() throws IOException {
        northStore = new FakePlatformStore();
        southStore = new FakePlatformStore();
        northServer = new FakeBackendServer("s1");
        southServer = new FakeBackendServer("s2");
        for (FakePlatformStore store : List.of(northStore, southStore)) {
            publish(store, 1, KEYS);
            store.put("servers/s1", entry(northServer, "north-a"));
            store.put("servers/s2", entry(southServer, "south-a"));
        }
        Address northPeer = freeAddress();
        southPeer = freeAddress();
        caller = freeAddress();
        southCaller = freeAddress();
        north = GatewayFixture.start(
                "north", caller, freeAddress(), northPeer, List.of(southPeer), northStore.address());
        south = GatewayFixture.start(
                "south", southCaller, freeAddress(), southPeer, List.of(northPeer), southStore.address());
        while (!get("key-south").startsWith("HTTP/1.1 200")) {
            Thread.onSpinWait();
        }
        southServer.arrivals().clear();
    }

    @AfterEach
    void stop() throws IOException {
        north.close();
        south.close();
        northStore.close();
        southStore.close();
        northServer.close();
        southServer.close();
    }

    private static String entry(FakeBackendServer server, String zone) {
        return "{\"service\":\"ledger\",\"address\":\"" + server.address() + "\",\"zone\":\"" + zone
                + "\",\"slots\":6,\"state\":\"ready\",\"coldLeftMs\":0,\"seq\":1}";
    }

    private static void publish(FakePlatformStore store, int version, String workspaces) {
        String tenants = workspaces.isEmpty() ? "" : ",\"tenants\":[" + workspaces + "]";
        store.put("op/config", """
                {"version":%d,"routes":[
                 {"name":"any","host":"h.example","pathPrefix":"/any/","kind":"non_idempotent","timeoutMs":3000,
                  "targetLatencyMs":900,"priority":2,"service":"ledger","maxAttempts":2}],
                 "services":[{"name":"ledger","healthPath":"/healthz"}],"limits":{}%s}""".formatted(version, tenants));
    }

    private String get(String key) throws IOException {
        return call(caller, "GET", "/any/7", "Authorization: Token " + key + "\r\n", "");
    }

    /** Guards against a request that is served outside the homes of its workspace, or that loses its workspace. */
    @Test
    void shouldServeARequestOnlyInTheHomesOfItsWorkspace() throws IOException {
        String listed = "Connection: Authorization, X-Tenant\r\nX-Tenant: forged\r\n";
        assertThat(call(caller, "POST", "/any/7", listed + "Authorization: Token key-south\r\n", "x"))
                .startsWith("HTTP/1.1 200");

        assertThat(southServer.arrivals())
                .singleElement()
                .satisfies(request -> assertThat(request)
                        .containsEntry("x-tenant", "south-only")
                        .doesNotContainKeys("authorization", "x-ibissaddle-workspace"));
        assertThat(northServer.arrivals()).isEmpty();
    }

    /** Guards against an instance that relies on the sender to respect the homes of the workspace. */
    @Test
    void shouldRefuseAForwardedRequestOutsideTheHomesOfItsWorkspace() throws IOException {
        String forwarded = "X-Ibissaddle-Forwarded-By: north-1\r\nAuthorization: Token key-north\r\n";

        assertThat(call(southPeer, "POST", "/any/7", forwarded + "X-Ibissaddle-Workspace: north-only\r\n", "x"))
                .startsWith("HTTP/1.1 503")
                .contains("X-Ibissaddle-Outcome: not-run");
        assertThat(southServer.arrivals()).isEmpty();
    }

    /** Guards against a 401 for a key that is known where the caller sent it. */
    @Test
    void shouldRefuseAsNotRunWhenTheOtherRegionDoesNotKnowTheKeyYet() throws IOException {
        publish(northStore, 2, NEWER);
        String answer = get("key-new");
        while (answer.startsWith("HTTP/1.1 401")) {
            answer = get("key-new");
        }

        assertThat(answer).startsWith("HTTP/1.1 503");
        assertThat(southServer.arrivals()).isEmpty();
        publish(southStore, 2, NEWER);
        while (!get("key-new").startsWith("HTTP/1.1 200")) {
            Thread.onSpinWait();
        }
        assertThat(call(southCaller, "GET", "/any/7", "Authorization: Token key-south\r\n", ""))
                .startsWith("HTTP/1.1 200");
    }

    /** Guards against a server that gets the key from an instance whose configuration has no workspaces yet. */
    @Test
    void shouldSendNoKeyToAServerWhenTheOtherRegionHasNoWorkspacesYet() throws IOException {
        publish(southStore, 2, "");
        while (!call(southCaller, "GET", "/any/7", "", "").startsWith("HTTP/1.1 200")) {
            Thread.onSpinWait();
        }
        southServer.arrivals().clear();

        assertThat(get("key-south")).startsWith("HTTP/1.1 503");
        assertThat(southServer.arrivals()).isEmpty();
    }

    /** Guards against an instance that learns a configuration without the keys and rejects all callers. */
    @Test
    void shouldAcceptKeysOfAConfigurationThatAnotherInstancePassedOn() throws IOException {
        southStore.setDown(true);
        publish(northStore, 2, NEWER);
        String headers = "Authorization: Token key-new\r\n";
        while (!call(southCaller, "GET", "/any/7", headers, "").startsWith("HTTP/1.1 200")) {
            Thread.onSpinWait();
        }

        assertThat(call(southCaller, "GET", "/any/7", "Authorization: Token unknown\r\n", ""))
                .startsWith("HTTP/1.1 401");
    }
}
