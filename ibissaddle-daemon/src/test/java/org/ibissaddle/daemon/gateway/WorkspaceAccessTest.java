package org.ibissaddle.daemon.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.ibissaddle.daemon.gateway.GatewayFixture.call;
import static org.ibissaddle.daemon.gateway.GatewayFixture.entry;
import static org.ibissaddle.daemon.gateway.GatewayFixture.freeAddress;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.ibissaddle.id.Address;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the API keys and workspaces of requests at one instance against fake servers. */
class WorkspaceAccessTest {
    private static final String WORKSPACES = """
            {"name":"yards","apiKeys":["key-yards-1","key-yards-2"],"priority":1},
            {"name":"docks","apiKeys":["key-docks"]},
            {"name":"far","apiKeys":["key-far"],"homeRegions":["south"]}""";

    private FakePlatformStore platform;
    private FakeBackendServer server;
    private Gateway gateway;
    private Address caller;
    private ByteArrayOutputStream log;

    @BeforeEach
    void start() throws IOException {
        platform = new FakePlatformStore();
        server = new FakeBackendServer("s1");
        publish(1, WORKSPACES);
        platform.put("servers/s1", entry(server.address()));
        caller = freeAddress();
        Address directory = freeAddress();
        log = new ByteArrayOutputStream();
        gateway = Gateway.start(
                GatewayFixture.settings(
                        "north-1", "north", caller, directory, freeAddress(), List.of(), platform.address()),
                () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime()),
                log);
        GatewayFixture.awaitReadiness(directory, 200);
    }

    @AfterEach
    void stop() throws IOException {
        gateway.close();
        platform.close();
        server.close();
    }

    private void publish(int version, String workspaces) {
        platform.put("op/config", """
                {"version":%d,"routes":[
                 {"name":"any","host":"h.example","pathPrefix":"/any/","kind":"idempotent","timeoutMs":3000,
                  "targetLatencyMs":2000,"priority":3,"service":"ledger","maxAttempts":2},
                 {"name":"north","host":"h.example","pathPrefix":"/north/","kind":"idempotent","timeoutMs":3000,
                  "targetLatencyMs":300,"priority":3,"service":"ledger","maxAttempts":2,"homeRegions":["north"]},
                 {"name":"open","host":"h.example","pathPrefix":"/open/","kind":"idempotent","timeoutMs":3000,
                  "targetLatencyMs":300,"priority":3,"service":"ledger","maxAttempts":2,"public":true}],
                 "services":[{"name":"ledger","healthPath":"/healthz"}],"limits":{},"tenants":[%s]}""".formatted(version, workspaces));
    }

    private String get(String path, String headers) throws IOException {
        return call(caller, "GET", path, headers, "");
    }

    private Map<String, String> onlyArrival() {
        assertThat(server.arrivals()).hasSize(1);
        return server.arrivals().element();
    }

    @Nested
    class Keys {
        /** Guards against a scheme that is compared with regard to case and a key that is not. */
        @ParameterizedTest
        @ValueSource(strings = {"Token key-yards-1", "tOKEN key-yards-2", "Token   key-docks"})
        void shouldServeARequestWithAKnownKey(String credentials) throws IOException {
            assertThat(get("/any/1", "Authorization: " + credentials + "\r\n")).startsWith("HTTP/1.1 200");
        }

        @ParameterizedTest
        @ValueSource(
                strings = {
                    "",
                    "Authorization: Token\r\n",
                    "Authorization: key-yards-1\r\n",
                    "Authorization: Bearer key-yards-1\r\n",
                    "Authorization: Token KEY-YARDS-1\r\n",
                    "Authorization: Token key-yards-11\r\n",
                    "Authorization: Token key-yards-1\r\nAuthorization: Token key-docks\r\n"
                })
        void shouldRefuseARequestWithoutAKnownKey(String headers) throws IOException {
            assertThat(get("/any/1", headers)).startsWith("HTTP/1.1 401").doesNotContain("key-");
            assertThat(server.arrivals()).isEmpty();
        }

        /** Guards against a body that is accepted before the key is checked. */
        @Test
        void shouldRefuseFromTheHeadWithoutAcceptingTheBody() throws IOException {
            String answer = GatewayFixture.exchange(
                    caller,
                    "POST /any/1 HTTP/1.1\r\nHost: h.example\r\nContent-Length: 9\r\nExpect: 100-continue\r\n\r\n");

            assertThat(answer)
                    .startsWith("HTTP/1.1 401")
                    .contains("connection: close")
                    .doesNotContain("100 Continue");
        }

        /** Guards against keys in log lines, metrics and error texts, also when the head cannot be parsed. */
        @ParameterizedTest
        @ValueSource(
                strings = {
                    "Authorization: Token secret-key\r\n",
                    "Authorization Token secret-key\r\n",
                    "Authorization : Token secret-key\r\n",
                    "Authorization: Token secret-key\u0001\r\n",
                    "Authorization: Token\r\n secret-key\r\n",
                    "Authorization: Token key-yards-1\r\nX-Deadline-Ms: 1\r\n",
                    "Authorization: Token key-far\r\n"
                })
        void shouldNotRevealAKey(String headers) throws IOException {
            String answer = get("/north/1", headers);
            gateway.close();

            assertThat(answer).startsWith("HTTP/1.1 ").doesNotContain("secret-key", "key-far", "key-yards");
            assertThat(log.toString(StandardCharsets.UTF_8))
                    .contains("event=started")
                    .doesNotContain("secret-key", "key-far", "key-yards");
        }

        /** Guards against refusals that an operator cannot trace to a request and a configuration. */
        @Test
        void shouldLogTheRequestAndTheVersionOfTheConfiguration() throws IOException {
            get("/any/1", "");
            gateway.close();

            assertThat(log.toString(StandardCharsets.UTF_8).lines())
                    .anySatisfy(line ->
                            assertThat(line).contains("event=refused", "request=7", "status=401", "configuration=1"));
        }

        @Test
        void shouldRefuseAWorkspaceThatSharesNoHomeWithTheRoute() throws IOException {
            assertThat(get("/north/1", "Authorization: Token key-far\r\n")).startsWith("HTTP/1.1 503");
            assertThat(server.arrivals()).isEmpty();
        }
    }

    @Nested
    class Headers {
        /** Guards against a caller that names another workspace, and against a server that learns the key. */
        @ParameterizedTest
        @ValueSource(
                strings = {
                    "X-Tenant: docks\r\n",
                    "x-tenant: docks\r\nX-TENANT: far\r\n",
                    "X_Tenant: docks\r\n",
                    "Connection: X-Tenant, Authorization\r\nX-Tenant: docks\r\n"
                })
        void shouldReplaceTheKeyByTheWorkspace(String forged) throws IOException {
            get("/any/1", forged + "Authorization: Token key-yards-1\r\n");

            assertThat(onlyArrival())
                    .containsEntry("x-tenant", "yards")
                    .doesNotContainKeys("authorization", "x_tenant", "x-ibissaddle-workspace");
        }

        @Test
        void shouldNameNoWorkspaceOnAPublicRoute() throws IOException {
            get("/open/1", "X-Tenant: docks\r\nAuthorization: Token key-docks\r\n");

            assertThat(onlyArrival()).doesNotContainKeys("x-tenant", "authorization");
        }

        @Test
        void shouldForwardHeadersAsTheyAreWithoutWorkspaces() throws IOException {
            publish(2, "");
            while (!get("/any/1", "").startsWith("HTTP/1.1 200")) {
                Thread.onSpinWait();
            }
            server.arrivals().clear();

            get("/any/1", "X-Tenant: docks\r\nAuthorization: Basic eA==\r\n");

            assertThat(onlyArrival()).containsEntry("x-tenant", "docks").containsEntry("authorization", "Basic eA==");
        }

        /** Guards against a server that schedules by the route when the workspace has a priority of its own. */
        @Test
        void shouldSendThePriorityOfTheWorkspace() throws IOException {
            get("/any/1", "X-Model: m\r\nX-Token-Usage: 10,10\r\nAuthorization: Token key-yards-1\r\n");

            assertThat(onlyArrival()).containsEntry("x-request-priority", "1");
        }
    }
}
