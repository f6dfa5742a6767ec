package org.ibissaddle.daemon.backend;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.Map;
import java.util.Optional;
import javax.net.SocketFactory;
import org.ibissaddle.dispatch.AttemptResult;
import org.ibissaddle.id.Address;
import org.ibissaddle.id.ServerId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against responses without end and against truncated responses that are taken for complete ones. */
class ServiceClientTest {
    private static final long TIMEOUT_MS = 60_000;

    private static AttemptResult send(EndlessServer server) {
        return send(server.address());
    }

    private static AttemptResult send(Address server) {
        try (ServiceClient client = ServiceClient.pooled(SocketFactory.getDefault())) {
            ServiceRequest request = new ServiceRequest("GET", "/stock/7", Map.of(), new byte[0]);
            return client.send(new ServerId("fake"), server, request, Optional::empty, TIMEOUT_MS);
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

    @ParameterizedTest
    @MethodSource("org.ibissaddle.daemon.backend.TruncatedResponses#truncated")
    void shouldReportATruncatedResponse(String response, boolean reset) throws IOException {
        try (SingleResponseServer server = new SingleResponseServer(response, reset)) {
            assertThat(send(server.address())).isInstanceOf(AttemptResult.TruncatedResponse.class);
        }
    }

    @ParameterizedTest
    @MethodSource("org.ibissaddle.daemon.backend.TruncatedResponses#complete")
    void shouldAcceptACompleteResponseThatEndsWithItsConnection(String response) throws IOException {
        try (SingleResponseServer server = new SingleResponseServer(response, false)) {
            assertThat(send(server.address())).isInstanceOf(AttemptResult.Answered.class);
        }
    }
}
