package org.ibissaddle.daemon.backend;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import javax.net.SocketFactory;
import org.ibissaddle.dispatch.AttemptResult;
import org.ibissaddle.id.Address;
import org.ibissaddle.id.ServerId;
import org.junit.jupiter.api.Test;

class StreamClientTest {
    private static final long TIMEOUT_MS = 60_000;

    // The whole body was read into memory despite its limit.
    @Test
    void shouldNotReadAResponseBodyThatNeverEnds() throws IOException {
        try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                StreamClient client = new StreamClient(SocketFactory.getDefault())) {
            Thread.ofVirtual().start(() -> sendWithoutEnd(listener));
            Address address = new Address("127.0.0.1", listener.getLocalPort());

            StreamClient.StartResult.Failed result = client.fetch(
                    new ServerId("endless"),
                    StreamClient.postRequest(address, "/v1/completions", Map.of(), new byte[0]),
                    TIMEOUT_MS,
                    call -> {});

            assertThat(result.evidence()).isInstanceOfSatisfying(AttemptResult.TruncatedResponse.class, truncated -> {
                assertThat(truncated.refusal().toString()).contains("exceeds");
            });
        }
    }

    private static void sendWithoutEnd(ServerSocket listener) {
        byte[] filler = new byte[65_536];
        try (Socket socket = listener.accept();
                OutputStream out = socket.getOutputStream()) {
            out.write("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
            while (!socket.isClosed()) {
                out.write(filler);
            }
        } catch (IOException e) {
            // Expected: the client closes the connection.
        }
    }
}
