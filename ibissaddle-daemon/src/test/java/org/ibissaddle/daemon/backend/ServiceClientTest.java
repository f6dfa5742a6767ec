package org.ibissaddle.daemon.backend;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.Map;
import java.util.Optional;
import javax.net.SocketFactory;
import org.ibissaddle.daemon.backend.SingleResponseServer.ConnectionEnd;
import org.ibissaddle.daemon.http.EarlyResponseServer;
import org.ibissaddle.daemon.http.EarlyResponseServer.Ending;
import org.ibissaddle.dispatch.AttemptResult;
import org.ibissaddle.id.Address;
import org.ibissaddle.id.ServerId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against responses without end and against truncated responses that are taken for complete ones. */
class ServiceClientTest {
    private static final long TIMEOUT_MS = 60_000;

    private static AttemptResult send(EndlessServer server) {
        return send(server.address());
    }

    private static AttemptResult send(Address server) {
        try (ServiceClient client = ServiceClient.pooled(SocketFactory.getDefault())) {
            return send(client, server, "r1");
        }
    }

    private static AttemptResult send(ServiceClient client, Address server, String requestId) {
        ServiceRequest request = new ServiceRequest("GET", "/stock/7", Map.of("X-Request-Id", requestId), new byte[0]);
        return client.send(new ServerId("fake"), server, request, Optional::empty, TIMEOUT_MS);
    }

    /** Guards against the refusal of an earlier request that a server writes once more on a kept connection. */
    @ParameterizedTest
    @ValueSource(strings = {"X-Request-Id: r1\r\n", ""})
    void shouldNotTakeTheRefusalOfAnEarlierRequestForAProof(String requestId) throws IOException {
        String refusal =
                "HTTP/1.1 503 Service Unavailable\r\nX-Ran: not-run\r\n" + requestId + "Content-Length: 0\r\n\r\n";
        try (SingleResponseServer server = new SingleResponseServer(refusal, ConnectionEnd.KEPT);
                ServiceClient client = ServiceClient.pooled(SocketFactory.getDefault())) {
            assertThat(send(client, server.address(), "r1")).isInstanceOf(AttemptResult.ReportedNotRun.class);
            assertThat(send(client, server.address(), "r2")).isInstanceOf(AttemptResult.LostAfterWrite.class);
        }
    }

    /** Guards against a second copy of an answer that arrives when its connection is in use again. */
    @ParameterizedTest
    @ValueSource(strings = {"X-Request-Id: r1\r\n", ""})
    void shouldNotTakeASecondCopyOfAnEarlierAnswer(String requestId) throws IOException {
        String answer = "HTTP/1.1 200 OK\r\n" + requestId + "Content-Length: 5\r\n\r\nlot 7";
        try (SingleResponseServer server = new SingleResponseServer(answer, ConnectionEnd.KEPT);
                ServiceClient client = ServiceClient.pooled(SocketFactory.getDefault())) {
            assertThat(send(client, server.address(), "r1")).isInstanceOf(AttemptResult.Answered.class);
            assertThat(send(client, server.address(), "r2")).isInstanceOf(AttemptResult.LostAfterWrite.class);
        }
    }

    @ParameterizedTest
    @MethodSource("org.ibissaddle.daemon.backend.TruncatedResponses#cutHeads")
    void shouldNotTakeACutHeadForAResponse(String head) throws IOException {
        try (SingleResponseServer server = new SingleResponseServer(head, ConnectionEnd.CLOSED)) {
            assertThat(send(server.address())).isInstanceOf(AttemptResult.LostAfterWrite.class);
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
    void shouldReportATruncatedResponse(String response, ConnectionEnd end) throws IOException {
        try (SingleResponseServer server = new SingleResponseServer(response, end)) {
            assertThat(send(server.address())).isInstanceOf(AttemptResult.TruncatedResponse.class);
        }
    }

    /** Guards against a second answer that is taken for the rest of a first one without a length. */
    @ParameterizedTest
    @MethodSource("org.ibissaddle.daemon.backend.TruncatedResponses#repeated")
    void shouldNotTakeASecondAnswerForTheRestOfTheFirst(String response) throws IOException {
        try (SingleResponseServer server = new SingleResponseServer(response, ConnectionEnd.CLOSED)) {
            assertThat(send(server.address())).isInstanceOf(AttemptResult.TruncatedResponse.class);
        }
    }

    @ParameterizedTest
    @MethodSource("org.ibissaddle.daemon.backend.TruncatedResponses#complete")
    void shouldAcceptACompleteResponseThatEndsWithItsConnection(String response) throws IOException {
        try (SingleResponseServer server = new SingleResponseServer(response, ConnectionEnd.CLOSED)) {
            assertThat(send(server.address())).isInstanceOf(AttemptResult.Answered.class);
        }
    }

    /** Guards against part of a response that is taken for all of it after its connection was reset in an upload. */
    @ParameterizedTest
    @MethodSource("org.ibissaddle.daemon.backend.TruncatedResponses#resetDuringUpload")
    void shouldNotTakeAPartForTheWholeAfterAResetDuringTheUpload(String part, Ending ending) throws IOException {
        ServiceRequest upload = new ServiceRequest(
                "POST", "/stock/7", Map.of("X-Request-Id", "r1"), new byte[TruncatedResponses.UPLOAD_BYTES]);
        try (EarlyResponseServer server = new EarlyResponseServer("fake", part, ending);
                ServiceClient client = ServiceClient.unpooled(SocketFactory.getDefault())) {
            assertThat(client.send(new ServerId("fake"), server.address(), upload, Optional::empty, TIMEOUT_MS))
                    .isNotInstanceOf(AttemptResult.Answered.class);
        }
    }

    /** Guards against an answer whose status code is none. */
    @ParameterizedTest
    @ValueSource(strings = {"000", "099", "600", "999"})
    void shouldNotTakeAStatusOutsideTheProtocolForAnAnswer(String status) throws IOException {
        String response = "HTTP/1.1 " + status + " None\r\nX-Request-Id: r1\r\nContent-Length: 0\r\n\r\n";
        try (SingleResponseServer server = new SingleResponseServer(response, ConnectionEnd.CLOSED)) {
            assertThat(send(server.address())).isInstanceOf(AttemptResult.LostAfterWrite.class);
        }
    }
}
