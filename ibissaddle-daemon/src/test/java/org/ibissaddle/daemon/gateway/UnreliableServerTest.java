package org.ibissaddle.daemon.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.ibissaddle.daemon.gateway.GatewayFixture.freeAddress;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.ibissaddle.daemon.http.EarlyResponseServer;
import org.ibissaddle.daemon.http.EarlyResponseServer.Ending;
import org.ibissaddle.id.Address;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests servers that fail while they answer, reached directly and through another instance. */
class UnreliableServerTest {
    private static final String ROUTE = """
            {"name":"%1$s","host":"h.example","pathPrefix":"/%1$s/","kind":"%2$s","timeoutMs":3000,
             "targetLatencyMs":900,"priority":2,"service":"ledger","maxAttempts":2}""";
    private static final String CONFIGURATION = "{\"version\":1,\"routes\":["
            + String.join(
                    ",",
                    ROUTE.formatted("once", "non_idempotent"),
                    ROUTE.formatted("any", "idempotent"),
                    ROUTE.formatted("stream", "streaming"))
            + "],\"services\":[{\"name\":\"ledger\",\"healthPath\":\"/healthz\"}],\"limits\":{}}";
    private static final String HEAD = "HTTP/1.1 200 OK\r\nX-Attempt-Id: 7\r\nX-Server-Seal: s\r\n";
    private static final String EVENT = "id: 1\ndata: part\n\n";
    /** Larger than the socket buffers, so that the upload is under way when the connection is reset. */
    private static final String UPLOAD = "u".repeat(4_000_000);
    /** Larger than the part of a plain response that is buffered before it is relayed. */
    private static final int LARGE_PART_BYTES = 2_000_000;

    private static final String LAST_CHUNK = "\r\n0\r\n\r\n";

    private final List<AutoCloseable> started = new ArrayList<>();

    @AfterEach
    void stop() throws Exception {
        for (AutoCloseable part : started.reversed()) {
            part.close();
        }
    }

    private <T extends AutoCloseable> T closeAtEnd(T part) {
        started.add(part);
        return part;
    }

    /** Starts a server, the instance of its zone and, for two hops, an instance of a region without servers. */
    private Address startDeployment(int hops, String response, Ending ending) throws IOException {
        FakePlatformStore platform = closeAtEnd(new FakePlatformStore());
        EarlyResponseServer server = closeAtEnd(new EarlyResponseServer("s1", response, ending));
        platform.put("op/config", CONFIGURATION);
        platform.put("servers/s1", GatewayFixture.entry(server.address()));
        Address northPeers = freeAddress();
        Address southPeers = freeAddress();
        Address north = start("north", northPeers, southPeers, platform);
        return hops == 1 ? north : start("south", southPeers, northPeers, platform);
    }

    private Address start(String region, Address peers, Address seed, FakePlatformStore platform) throws IOException {
        Address caller = freeAddress();
        Address directory = freeAddress();
        closeAtEnd(GatewayFixture.start(region, caller, directory, peers, List.of(seed), platform.address()));
        GatewayFixture.awaitReadiness(directory, 200);
        return caller;
    }

    /** Uploads until the request has reached the server; the other instance and the server may not be known at once. */
    private static String upload(Address caller, String path) throws IOException {
        while (true) {
            String answer = GatewayFixture.call(caller, "POST", path, "", UPLOAD);
            if (!answer.startsWith("HTTP/1.1 503")) {
                return answer;
            }
        }
    }

    private static void assertNotComplete(String answer) {
        if (!answer.startsWith("HTTP/1.1 200")) {
            assertThat(answer).startsWith("HTTP/1.1 502").doesNotContain("X-Server-Seal");
            return;
        }
        assertThat(answer).doesNotEndWith(LAST_CHUNK).doesNotContainIgnoringCase("Content-Length");
    }

    /** Guards against part of a response that is taken for all of it after its connection was reset in an upload. */
    @Nested
    class EarlyResponseWithoutALength {
        @ParameterizedTest
        @CsvSource({
            "1, once, RESET_AT_ONCE",
            "1, once, RESET_LATE",
            "1, any, RESET_AT_ONCE",
            "1, any, RESET_LATE",
            "1, stream, RESET_AT_ONCE",
            "1, stream, RESET_LATE",
            "2, once, RESET_AT_ONCE",
            "2, once, RESET_LATE",
            "2, any, RESET_AT_ONCE",
            "2, stream, RESET_AT_ONCE",
            "2, stream, RESET_LATE"
        })
        void shouldNotTakeAPartForTheWhole(int hops, String route, Ending ending) throws IOException {
            String type = route.equals("stream") ? "Content-Type: text/event-stream\r\n" : "";

            assertNotComplete(upload(startDeployment(hops, HEAD + type + "\r\n" + EVENT, ending), "/" + route + "/7"));
        }

        @ParameterizedTest
        @CsvSource({"1, RESET_AT_ONCE", "1, RESET_LATE", "2, RESET_AT_ONCE", "2, RESET_LATE"})
        void shouldNotTakeALargePartForTheWhole(int hops, Ending ending) throws IOException {
            String response = HEAD + "\r\n" + "p".repeat(LARGE_PART_BYTES);

            assertNotComplete(upload(startDeployment(hops, response, ending), "/once/7"));
        }

        @Test
        void shouldRelayTheWholeThatEndsAfterTheUpload() throws IOException {
            Address caller = startDeployment(1, HEAD + "\r\nwhole", Ending.CLOSED_AFTER_REQUEST);

            assertThat(upload(caller, "/once/7")).startsWith("HTTP/1.1 200").endsWith("whole");
        }
    }

    @Nested
    class EarlyResponseWithALength {
        @ParameterizedTest
        @CsvSource({"1, RESET_AT_ONCE", "1, RESET_LATE", "2, RESET_AT_ONCE", "2, RESET_LATE"})
        void shouldNotTakeAPartForTheWhole(int hops, Ending ending) throws IOException {
            String response = HEAD + "Content-Length: 100\r\n\r\n" + EVENT;

            assertNotComplete(upload(startDeployment(hops, response, ending), "/once/7"));
        }

        @ParameterizedTest
        @CsvSource({"1, RESET_AT_ONCE", "1, RESET_LATE", "2, RESET_AT_ONCE", "2, RESET_LATE"})
        void shouldNotTakeAPartInChunksForTheWhole(int hops, Ending ending) throws IOException {
            String response = HEAD + "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n";

            assertNotComplete(upload(startDeployment(hops, response, ending), "/once/7"));
        }
    }

    /** Guards against relaying a status code that is none. */
    @Nested
    class StatusOutsideTheProtocol {
        @ParameterizedTest
        @CsvSource({
            "1, 000, 'Content-Length: 4\r\n\r\nbody'",
            "1, 000, 'Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n'",
            "1, 000, '\r\nbody'",
            "1, 099, 'Content-Length: 0\r\n\r\n'",
            "1, 600, 'Content-Length: 0\r\n\r\n'",
            "1, 999, '\r\nbody'",
            "2, 000, 'Content-Length: 4\r\n\r\nbody'",
            "2, 000, '\r\nbody'"
        })
        void shouldNotRelayAResponse(int hops, String status, String rest) throws IOException {
            String response = HEAD.replace("200 OK", status + " None") + unescape(rest);
            Address caller = startDeployment(hops, response, Ending.CLOSED_AFTER_REQUEST);

            for (String path : List.of("/once/7", "/any/7", "/stream/7")) {
                assertThat(upload(caller, path)).startsWith("HTTP/1.1 502").doesNotContain("X-Server-Seal");
            }
        }

        private static String unescape(String text) {
            return text.replace("\\r", "\r").replace("\\n", "\n");
        }
    }
}
