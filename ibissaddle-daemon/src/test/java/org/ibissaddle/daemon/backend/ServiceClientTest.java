package org.ibissaddle.daemon.backend;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.Map;
import java.util.Optional;
import javax.net.SocketFactory;
import org.ibissaddle.dispatch.AttemptResult;
import org.ibissaddle.id.ServerId;
import org.junit.jupiter.api.Test;

/** Guards against responses without end. */
class ServiceClientTest {
    private static final long TIMEOUT_MS = 60_000;

    private static AttemptResult send(EndlessServer server) {
        try (ServiceClient client = ServiceClient.pooled(SocketFactory.getDefault())) {
            ServiceRequest request = new ServiceRequest("GET", "/stock/7", Map.of(), new byte[0]);
            return client.send(new ServerId("endless"), server.address(), request, Optional::empty, TIMEOUT_MS);
        }
    }

    @Test
    void shouldFailWhenAResponseHeadNeverEnds() throws IOException {
        try (EndlessServer server = new EndlessServer("HTTP/1.1 200 OK\r\n", "X-Filler: x\r\n")) {
            assertThat(send(server)).isInstanceOf(AttemptResult.LostAfterWrite.class);
        }
    }

    @Test
    void shouldNotReadAResponseBodyThatNeverEnds() throws IOException {
        try (EndlessServer server = new EndlessServer("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", "x")) {
            assertThat(send(server)).isInstanceOf(AttemptResult.TruncatedResponse.class);
        }
    }

    @Test
    void shouldNotReadTheBodyOfARejectionThatNeverEnds() throws IOException {
        String head = "HTTP/1.1 503 Service Unavailable\r\nX-Ran: not-run\r\nConnection: close\r\n\r\n";
        try (EndlessServer server = new EndlessServer(head, "x")) {
            assertThat(send(server)).isInstanceOf(AttemptResult.ReportedNotRun.class);
        }
    }
}
