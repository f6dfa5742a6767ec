package org.ibissaddle.daemon.peer;

import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

import java.io.IOException;
import javax.net.SocketFactory;
import org.ibissaddle.daemon.backend.EndlessServer;
import org.junit.jupiter.api.Test;

/** Guards against responses without end, which once filled the memory. */
class ControlHttpClientTest {
    private static final long TIMEOUT_MS = 60_000;

    private static void get(EndlessServer server) throws IOException {
        try (ControlHttpClient client = new ControlHttpClient(SocketFactory.getDefault())) {
            client.get(server.address(), "/load", "X-Ran", TIMEOUT_MS);
        }
    }

    @Test
    void shouldFailWhenAResponseHeadNeverEnds() throws IOException {
        try (EndlessServer server = new EndlessServer("HTTP/1.1 200 OK\r\n", "X-Filler: x\r\n")) {
            assertThatExceptionOfType(IOException.class).isThrownBy(() -> get(server));
        }
    }

    @Test
    void shouldNotReadAResponseBodyThatNeverEnds() throws IOException {
        try (EndlessServer server = new EndlessServer("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", "x")) {
            assertThatExceptionOfType(IOException.class)
                    .isThrownBy(() -> get(server))
                    .withMessageContaining("exceeds");
        }
    }
}
