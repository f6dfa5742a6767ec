package org.ibissaddle.daemon.backend;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import javax.net.SocketFactory;
import okhttp3.Response;
import okhttp3.sse.EventSource;
import okhttp3.sse.EventSourceListener;
import okhttp3.sse.EventSources;
import org.ibissaddle.daemon.backend.SingleResponseServer.ConnectionEnd;
import org.ibissaddle.daemon.http.EarlyResponseServer;
import org.ibissaddle.daemon.http.EarlyResponseServer.Ending;
import org.ibissaddle.dispatch.AttemptResult;
import org.ibissaddle.id.Address;
import org.ibissaddle.id.ServerId;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against responses without end, which once filled the memory, and against truncated responses that are taken
 * for complete ones.
 */
class StreamClientTest {
    private static final ServerId SERVER = new ServerId("endless");
    private static final long TIMEOUT_MS = 60_000;

    private final StreamClient client = new StreamClient(SocketFactory.getDefault());

    @AfterEach
    void closeClient() {
        client.close();
    }

    private StreamClient.StartResult start(EndlessServer server) {
        return client.start(
                SERVER,
                StreamClient.postRequest(server.address(), "/v1/completions", Map.of(), new byte[0]),
                call -> {});
    }

    private AttemptResult fetch(Address server) {
        return fetch(server, "r1");
    }

    private AttemptResult fetch(Address server, String requestId) {
        return fetch(server, requestId, new byte[0]);
    }

    private AttemptResult fetch(Address server, String requestId, byte[] body) {
        return client.fetch(
                        SERVER,
                        StreamClient.postRequest(server, "/v1/completions", Map.of("X-Request-Id", requestId), body),
                        TIMEOUT_MS,
                        call -> {})
                .evidence();
    }

    @ParameterizedTest
    @MethodSource("org.ibissaddle.daemon.backend.TruncatedResponses#truncated")
    void shouldReportATruncatedResponse(String response, ConnectionEnd end) throws IOException {
        try (SingleResponseServer server = new SingleResponseServer(response, end)) {
            assertThat(fetch(server.address())).isInstanceOf(AttemptResult.TruncatedResponse.class);
        }
    }

    /** Guards against a second answer that is taken for the rest of a first one without a length. */
    @ParameterizedTest
    @MethodSource("org.ibissaddle.daemon.backend.TruncatedResponses#repeated")
    void shouldNotTakeASecondAnswerForTheRestOfTheFirst(String response) throws IOException {
        try (SingleResponseServer server = new SingleResponseServer(response, ConnectionEnd.CLOSED)) {
            assertThat(fetch(server.address())).isInstanceOf(AttemptResult.TruncatedResponse.class);
        }
    }

    @ParameterizedTest
    @MethodSource("org.ibissaddle.daemon.backend.TruncatedResponses#complete")
    void shouldAcceptACompleteResponseThatEndsWithItsConnection(String response) throws IOException {
        try (SingleResponseServer server = new SingleResponseServer(response, ConnectionEnd.CLOSED)) {
            assertThat(fetch(server.address())).isInstanceOf(AttemptResult.Answered.class);
        }
    }

    @ParameterizedTest
    @CsvSource({
        "'HTTP/1.1 200 OK\r\nX-Filler: ', 'x'",
        "'HTTP/1.1 200 OK\r\n', 'X-Filler: x\r\n'",
        "'', 'HTTP/1.1 103 Early Hints\r\n\r\n'",
        "'', '\r\n'"
    })
    void shouldFailWhenAResponseHeadNeverEnds(String head, String tail) throws IOException {
        try (EndlessServer server = new EndlessServer(unescape(head), unescape(tail))) {
            assertThat(start(server))
                    .isInstanceOfSatisfying(
                            StreamClient.StartResult.Failed.class,
                            failed -> assertThat(failed.evidence()).isInstanceOf(AttemptResult.LostAfterWrite.class));
        }
    }

    @Test
    void shouldNotReadAResponseBodyThatNeverEnds() throws IOException {
        try (EndlessServer server = new EndlessServer("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", "x")) {
            assertThat(fetch(server.address()))
                    .isInstanceOfSatisfying(AttemptResult.TruncatedResponse.class, truncated -> {
                        assertThat(truncated.refusal().toString()).contains("exceeds");
                    });
        }
    }

    @Test
    void shouldFailAStreamWhoseEventNeverEnds() throws IOException {
        String head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\nid: 1\ndata: a\n\ndata: ";
        try (EndlessServer server = new EndlessServer(head, "x");
                Response response = ((StreamClient.StartResult.Streaming) start(server)).response()) {
            List<String> events = new ArrayList<>();
            List<Throwable> failures = new ArrayList<>();
            EventSources.processResponse(response, new EventSourceListener() {
                @Override
                public void onEvent(EventSource source, String id, String type, String data) {
                    events.add(data);
                }

                @Override
                public void onFailure(EventSource source, Throwable cause, Response failed) {
                    failures.add(cause);
                }
            });

            assertThat(events).containsExactly("a");
            assertThat(failures)
                    .singleElement()
                    .satisfies(cause -> assertThat(cause).hasMessageContaining("exceeds"));
        }
    }

    /** Guards against the refusal of an earlier request that a server writes once more on a kept connection. */
    @ParameterizedTest
    @ValueSource(strings = {"X-Request-Id: r1\r\n", ""})
    void shouldNotTakeTheRefusalOfAnEarlierRequestForAProof(String requestId) throws IOException {
        String refusal =
                "HTTP/1.1 503 Service Unavailable\r\nX-Ran: not-run\r\n" + requestId + "Content-Length: 0\r\n\r\n";
        try (SingleResponseServer server = new SingleResponseServer(refusal, ConnectionEnd.KEPT)) {
            assertThat(fetch(server.address(), "r1")).isInstanceOf(AttemptResult.ReportedNotRun.class);
            assertThat(fetch(server.address(), "r2")).isInstanceOf(AttemptResult.LostAfterWrite.class);
        }
    }

    private static String unescape(String text) {
        return text.replace("\\r", "\r").replace("\\n", "\n");
    }

    /** Guards against part of a response that is taken for all of it after its connection was reset in an upload. */
    @ParameterizedTest
    @MethodSource("org.ibissaddle.daemon.backend.TruncatedResponses#resetDuringUpload")
    void shouldNotTakeAPartForTheWholeAfterAResetDuringTheUpload(String part, Ending ending) throws IOException {
        try (EarlyResponseServer server = new EarlyResponseServer("fake", part, ending)) {
            assertThat(fetch(server.address(), "r1", new byte[TruncatedResponses.UPLOAD_BYTES]))
                    .isNotInstanceOf(AttemptResult.Answered.class);
        }
    }

    /** Guards against an answer whose status code is none. */
    @ParameterizedTest
    @ValueSource(strings = {"000", "099", "600", "999"})
    void shouldNotTakeAStatusOutsideTheProtocolForAnAnswer(String status) throws IOException {
        String response = "HTTP/1.1 " + status + " None\r\nX-Request-Id: r1\r\nContent-Length: 0\r\n\r\n";
        try (SingleResponseServer server = new SingleResponseServer(response, ConnectionEnd.CLOSED)) {
            assertThat(fetch(server.address())).isInstanceOf(AttemptResult.LostAfterWrite.class);
        }
    }
}
