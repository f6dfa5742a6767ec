package org.ibissaddle.standins;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.ibissaddle.standins.StandinHttpClient.waitUntil;

import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class FaultProxyTest {
    private static final String LINK = "k1-b1";

    private EventLoopGroup loops;
    private ServiceStandin service;
    private FaultProxy proxy;
    private InetSocketAddress link;
    private StandinHttpClient httpClient;

    @BeforeEach
    void startProxy() throws IOException {
        loops = HttpStandin.newEventLoops(2);
        service = new ServiceStandin(ServiceOptions.named("ledger-1"), loops);
        service.start();
        proxy = new FaultProxy(FaultProxyOptions.named("proxy"), loops);
        proxy.start();
        link = proxy.open(LINK, service.address());
        httpClient = new StandinHttpClient(link);
    }

    @AfterEach
    void closeProxy() {
        proxy.close();
        service.close();
        HttpStandin.shutdownEventLoops(loops);
    }

    private int call(String key) throws Exception {
        return httpClient.send("POST", "/", "x", "Idempotency-Key", key).statusCode();
    }

    @Nested
    class Shaping {
        @Test
        void shouldForwardLargeBodies() throws Exception {
            byte[] body = new byte[4_000_000];

            assertThat(httpClient.bytes("POST", "/", body).body()).asString().contains("\"echo_bytes\":4000000");
            assertThat(proxy.stats(LINK).bytesToServer()).isGreaterThan(body.length);
        }

        @Test
        void shouldDelayBothDirections() throws Exception {
            proxy.delay(LINK, 40);
            long start = System.nanoTime();

            assertThat(call("k1")).isEqualTo(200);
            assertThat(System.nanoTime() - start).isGreaterThanOrEqualTo(80_000_000L);
        }

        @Test
        void shouldLimitBandwidth() throws Exception {
            proxy.bandwidth(LINK, 1_000_000);
            long start = System.nanoTime();
            httpClient.bytes("POST", "/", new byte[200_000]);

            assertThat(System.nanoTime() - start).isGreaterThanOrEqualTo(195_000_000L);
        }
    }

    @Nested
    class Cutting {
        @Test
        void shouldHoldRequestsUntilHealed() throws Exception {
            proxy.cut(LINK, LinkFaults.Cut.TO_SERVER);
            var response = httpClient.sendAsync("POST", "/", "x", "Idempotency-Key", "k1");
            waitUntil(() -> proxy.stats(LINK).connections() == 1);
            new StandinHttpClient(service.address()).send("POST", "/", "x", "Idempotency-Key", "direct");
            assertThat(service.executionCounts()).containsOnlyKeys("direct");
            assertThat(proxy.stats(LINK).bytesToServer()).isZero();
            proxy.heal(LINK);

            assertThat(response.join().statusCode()).isEqualTo(200);
        }

        @Test
        void shouldHoldResponsesOfExecutedRequests() throws Exception {
            proxy.cut(LINK, LinkFaults.Cut.TO_CLIENT);
            var response = httpClient.sendAsync("POST", "/", "x", "Idempotency-Key", "k1");
            waitUntil(() -> service.executionCounts().containsKey("k1"));
            assertThat(response).isNotDone();
            assertThat(proxy.stats(LINK).bytesToClient()).isZero();
            proxy.heal(LINK);

            assertThat(response.join().statusCode()).isEqualTo(200);
        }

        @Test
        void shouldRefuseAndResetUntilHealed() throws Exception {
            call("k1");
            proxy.refuse(LINK);
            assertThatThrownBy(() -> call("k2")).isInstanceOf(IOException.class);
            waitUntil(() -> proxy.stats(LINK).open() == 0);
            proxy.heal(LINK);

            assertThat(call("k3")).isEqualTo(200);
            assertThat(service.executionCounts()).containsOnlyKeys("k1", "k3");
        }

        @Test
        void shouldResetAfterBytesToClient() throws Exception {
            proxy.resetAfterBytes(LINK, 10);
            try (Socket socket = connect()) {
                socket.getOutputStream().write("GET / HTTP/1.1\r\nHost: x\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
                assertThatThrownBy(() -> socket.getInputStream().readAllBytes()).isInstanceOf(SocketException.class);
            }

            assertThat(proxy.stats(LINK).bytesToClient()).isEqualTo(10);
            assertThat(proxy.stats(LINK).resets()).isEqualTo(1);
        }

        @Test
        void shouldPropagateServerClose() throws Exception {
            try (Socket socket = connect()) {
                waitUntil(() -> proxy.stats(LINK).open() == 1);
                socket.getOutputStream()
                        .write("GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
                                .getBytes(StandardCharsets.US_ASCII));
                assertThat(socket.getInputStream().readAllBytes()).asString().endsWith("}");
            }
        }
    }

    @Nested
    class Splitting {
        @Test
        void shouldRefuseOneSourceAndForwardOthers() throws Exception {
            InetAddress blockedSource = InetAddress.getByName("127.0.0.7");
            proxy.separateSource(LINK, blockedSource, "from-7");
            proxy.refuse("from-7");

            try (Socket socket = new Socket(link.getAddress(), link.getPort(), blockedSource, 0)) {
                assertThatThrownBy(() -> socket.getInputStream().read()).isInstanceOf(SocketException.class);
            }
            assertThat(call("k1")).isEqualTo(200);
        }
    }

    @Nested
    class Duplicating {
        @Test
        void shouldReplayRequestsOnSecondConnection() throws Exception {
            proxy.duplicateConnection(LINK);

            assertThat(call("k1")).isEqualTo(200);
            waitUntil(() -> service.executionCounts().get("k1") == 2);
            assertThat(proxy.stats(LINK).duplicates()).isEqualTo(1);
        }
    }

    @Nested
    class Control {
        @Test
        void shouldOpenAndControlLinks() throws Exception {
            StandinHttpClient control = new StandinHttpClient(proxy.address());
            String target = "{\"listen\":0,\"target\":\"127.0.0.1:%d\"}"
                    .formatted(service.address().getPort());
            int port = StandinHttpClient.parseJson(
                            control.send("PUT", "/links/second", target).body())
                    .path("port")
                    .asInt();
            StandinHttpClient second =
                    new StandinHttpClient(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
            assertThat(second.get("/x").statusCode()).isEqualTo(200);
            control.send("POST", "/control", "{\"link\":\"second\",\"fault\":{\"refuse\":true}}");

            assertThatThrownBy(() -> second.get("/x")).isInstanceOf(IOException.class);
            assertThat(control.json("/stats").at("/second/resets").asInt()).isEqualTo(1);
            assertThat(call("k1")).isEqualTo(200);
        }

        @Test
        void shouldRejectUnknownLinkAndInvalidTarget() throws Exception {
            StandinHttpClient control = new StandinHttpClient(proxy.address());
            String invalidLink = "{\"listen\":0,\"target\":\"nowhere\"}";

            assertThat(control.send("POST", "/control", "{\"link\":\"x\",\"fault\":{}}")
                            .body())
                    .contains("link \\\"x\\\" does not exist");
            assertThat(control.send("PUT", "/links/x", invalidLink).statusCode())
                    .isEqualTo(400);
        }
    }

    private Socket connect() throws IOException {
        return new Socket(link.getAddress(), link.getPort());
    }
}
