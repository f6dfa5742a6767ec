package org.ibissaddle.standins;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.ibissaddle.standins.StandinHttpClient.waitUntil;

import io.netty.channel.EventLoopGroup;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ServiceStandinTest {
    private EventLoopGroup loops;
    private ServiceStandin service;
    private StandinHttpClient httpClient;

    @BeforeEach
    void startService() throws IOException {
        loops = HttpStandin.newEventLoops(1);
        service = new ServiceStandin(ServiceOptions.named("ledger-1"), loops);
        service.start();
        httpClient = new StandinHttpClient(service.address());
    }

    @AfterEach
    void closeService() {
        service.close();
        HttpStandin.shutdownEventLoops(loops);
    }

    private HttpResponse<String> buy(String key) throws Exception {
        return httpClient.send("POST", "/ledger/buy", "lot 12", "Idempotency-Key", key, "X-Request-Id", "r1");
    }

    @Nested
    class Counting {
        @Test
        void shouldCountArrivalsByKey() throws Exception {
            HttpResponse<String> reply = buy("k1");
            buy("k1");
            buy("k2");

            assertThat(reply.body())
                    .isEqualTo("{\"service\":\"ledger-1\",\"key\":\"k1\",\"arrival\":1,\"echo_bytes\":6}");
            assertThat(reply.headers().firstValue("X-Request-Id")).contains("r1");
            assertThat(httpClient.get("/_arrivals").body()).isEqualTo("{\"k1\":2,\"k2\":1}");
        }

        @Test
        void shouldNotCountIncompleteRequest() throws Exception {
            try (Socket socket = connect()) {
                send(socket, "POST /ledger/buy HTTP/1.1\r\nHost: x\r\nContent-Length: 6\r\n\r\nlot");
                httpClient.get("/load");
            }
            buy("k1");

            assertThat(service.executionCounts()).containsOnlyKeys("k1");
        }

        @Test
        void shouldNotCountWhileDraining() throws Exception {
            httpClient.send("POST", "/control", "{\"drain\":true}");
            HttpResponse<String> reply = buy("k1");

            assertThat(reply.statusCode()).isEqualTo(503);
            assertThat(reply.headers().firstValue("X-Ran")).contains("not-run");
            assertThat(service.executionCounts()).isEmpty();
            assertThat(httpClient.json("/load").path("draining").asBoolean()).isTrue();
        }
    }

    @Nested
    class Faults {
        @Test
        void shouldCountAndCloseBeforeAnswer() throws Exception {
            httpClient.send("POST", "/control", "{\"close_before_answer\":1}");
            try (Socket socket = connect()) {
                send(socket, "POST / HTTP/1.1\r\nHost: x\r\nIdempotency-Key: k1\r\nContent-Length: 0\r\n\r\n");
                assertThat(socket.getInputStream().read()).isEqualTo(-1);
            }

            assertThat(service.executionCounts()).containsEntry("k1", 1);
            assertThat(buy("k2").statusCode()).isEqualTo(200);
        }

        @Test
        void shouldCountAndRequestRetry() throws Exception {
            service.setFaults(new ServiceFaults(0, 0, 1, 1, false, 0));
            HttpResponse<String> unavailable = buy("k1");

            assertThat(unavailable.statusCode()).isEqualTo(503);
            assertThat(unavailable.headers().firstValue("Retry-After")).contains("0");
            assertThat(buy("k1").statusCode()).isEqualTo(307);
            assertThat(buy("k1").statusCode()).isEqualTo(200);
            assertThat(service.executionCounts()).containsEntry("k1", 3);
        }

        @Test
        void shouldExecuteBeforeDelayedResponse() throws Exception {
            httpClient.send("POST", "/control", "{\"delay_ms\":300}");
            var reply = httpClient.sendAsync("POST", "/", "", "Idempotency-Key", "k1");
            waitUntil(() -> service.executionCounts().containsKey("k1"));

            assertThat(reply).isNotDone();
            assertThat(reply.join().statusCode()).isEqualTo(200);
        }

        @Test
        void shouldCloseIdleConnection() throws Exception {
            httpClient.send("POST", "/control", "{\"close_idle_after_ms\":20}");
            try (Socket socket = connect()) {
                send(socket, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n");
                BufferedReader reader =
                        new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8));
                assertThat(reader.readLine()).isEqualTo("HTTP/1.1 200 OK");
                while (reader.readLine() != null) {
                    assertThat(socket.isClosed()).isFalse();
                }
            }
        }

        @Test
        void shouldRefuseConnectionsAfterClose() {
            service.close();

            assertThatThrownBy(() -> buy("k1")).isInstanceOf(IOException.class);
        }
    }

    private Socket connect() throws IOException {
        return new Socket(service.address().getAddress(), service.address().getPort());
    }

    private static void send(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }
}
