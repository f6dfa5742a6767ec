package org.ibissaddle.daemon.caller;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import org.ibissaddle.daemon.settings.Settings;
import org.ibissaddle.id.Address;
import org.ibissaddle.outcome.ExecutionStatus;
import org.ibissaddle.outcome.Refusal;
import org.ibissaddle.outcome.RefusalType;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class CallerServerTest {
    private static final int MAX_BODY_BYTES = 256 * 1024;
    private static final int MAX_HEADER_BYTES = 8 * 1024;
    private static final long BODY_DEADLINE_MS = 700;
    private static final int MAX_UNREAD_CHUNKS = 64 * 1024;
    private static final Address OTHER_REGION_ADDRESS = new Address("127.0.0.1", 9);

    private final EchoService service = new EchoService();
    private CallerServer server;

    /** Responds with the path and body length, or with an endless response for the path {@code /endless}. */
    private static final class EchoService implements RequestHandler {
        final AtomicInteger served = new AtomicInteger();
        final AtomicInteger chunksSent = new AtomicInteger();
        final AtomicBoolean writeFailed = new AtomicBoolean();
        final CountDownLatch failureLatch = new CountDownLatch(1);

        @Override
        public boolean draining() {
            return false;
        }

        @Override
        public Optional<Refusal> check(RequestHead head) {
            return switch (head.path()) {
                case "/elsewhere" ->
                    Optional.of(Refusal.of(RefusalType.WRONG_REGION, "bound to region \"x\"", ExecutionStatus.NOT_RUN)
                            .withInstances(List.of(OTHER_REGION_ADDRESS)));
                case "/unknown" ->
                    Optional.of(Refusal.of(RefusalType.UNKNOWN_ROUTE, "no call \"/unknown\"", ExecutionStatus.NOT_RUN));
                case "/ticket-seen" ->
                    Optional.of(
                            Refusal.of(RefusalType.IN_PROGRESS, "the call may be running", ExecutionStatus.UNKNOWN));
                default -> Optional.empty();
            };
        }

        @Override
        public void handle(CallerRequest request, ClientResponseWriter reply) {
            served.incrementAndGet();
            try {
                answer(request, reply);
            } catch (IOException e) {
                writeFailed.set(true);
                failureLatch.countDown();
            }
        }

        private void answer(CallerRequest request, ClientResponseWriter reply) throws IOException {
            String text = request.head().path() + " " + request.body().length;
            if (!request.head().path().equals("/endless")) {
                reply.sendComplete(200, Map.of(), text.getBytes(StandardCharsets.UTF_8));
                return;
            }
            reply.start(200, Map.of());
            while (true) {
                reply.sendChunk(new byte[1024]);
                chunksSent.incrementAndGet();
            }
        }
    }

    @BeforeEach
    void start() throws IOException {
        Settings.Limits limits = new Settings.Limits(MAX_BODY_BYTES, MAX_HEADER_BYTES, BODY_DEADLINE_MS);
        server = CallerServer.start(new Address("127.0.0.1", 0), limits, service, System::currentTimeMillis);
    }

    @AfterEach
    void stop() {
        server.close();
    }

    private RawHttpClient caller() throws IOException {
        return new RawHttpClient(server.address());
    }

    private static String post(String path, int length) {
        return "POST " + path + " HTTP/1.1\r\nHost: x\r\nContent-Length: " + length + "\r\n\r\n";
    }

    private static String chunkedPost(String path) {
        return "POST " + path + " HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n";
    }

    private void assertStillServes() throws IOException {
        try (RawHttpClient other = caller()) {
            assertThat(other.send(post("/ok", 2) + "hi").answer().body()).isEqualTo("/ok 2");
        }
    }

    private static void assertRefused(
            RawHttpClient.RawResponse response, RefusalType type, ExecutionStatus executionStatus) {
        assertThat(response.status()).isEqualTo(type.status());
        assertThat(response.headers()).containsEntry("x-ran", executionStatus.wireName());
        assertThat(response.body())
                .contains("\"type\":\"" + type.wireName() + "\"")
                .contains("\"ran\":\"" + executionStatus.wireName() + "\"");
    }

    @Nested
    class Bodies {
        @Test
        void shouldRefuseDeclaredBodyThatIsTooLarge() throws IOException {
            try (RawHttpClient client = caller()) {
                assertRefused(
                        client.send(post("/ok", MAX_BODY_BYTES + 1)).answer(),
                        RefusalType.BODY_TOO_LARGE,
                        ExecutionStatus.NOT_RUN);
                assertThat(client.connectionClosed()).isTrue();
            }
            assertStillServes();
        }

        @Test
        void shouldRefuseStreamedBodyThatIsTooLarge() throws IOException {
            String chunk = "4000\r\n" + "x".repeat(0x4000) + "\r\n";
            try (RawHttpClient client = caller()) {
                client.send(chunkedPost("/ok"));
                for (int sent = 0; sent <= MAX_BODY_BYTES; sent += 0x4000) {
                    client.send(chunk);
                }
                assertRefused(client.answer(), RefusalType.BODY_TOO_LARGE, ExecutionStatus.NOT_RUN);
            }
            assertThat(service.served).hasValue(0);
            assertStillServes();
        }

        @Test
        void shouldReportUnknownExecutionStatusOfRefusedCallWithTicket() throws IOException {
            String head = "POST /ok HTTP/1.1\r\nX-Ticket: t\r\nContent-Length: " + (MAX_BODY_BYTES + 1);
            try (RawHttpClient client = caller()) {
                assertRefused(
                        client.send(head + "\r\n\r\n").answer(), RefusalType.BODY_TOO_LARGE, ExecutionStatus.UNKNOWN);
            }
        }

        @Test
        void shouldAcceptLargestBody() throws IOException {
            try (RawHttpClient client = caller()) {
                client.send(post("/ok", MAX_BODY_BYTES)).send(new byte[MAX_BODY_BYTES]);
                assertThat(client.answer().body()).isEqualTo("/ok " + MAX_BODY_BYTES);
            }
        }

        @Test
        void shouldAcceptBodyInManyTinyChunks() throws IOException {
            try (RawHttpClient client = caller()) {
                client.send(chunkedPost("/ok") + "1\r\nx\r\n".repeat(20_000) + "0\r\n\r\n");
                assertThat(client.answer().body()).isEqualTo("/ok 20000");
            }
        }

        @Test
        void shouldRefuseBodyThatStalls() throws IOException {
            try (RawHttpClient client = caller()) {
                assertRefused(
                        client.send(post("/ok", 100) + "abc").answer(),
                        RefusalType.DEADLINE_PASSED,
                        ExecutionStatus.NOT_RUN);
            }
            assertThat(service.served).hasValue(0);
        }

        @Test
        void shouldNotWriteTemporaryFilesForLargeBodies() throws IOException {
            List<Path> before = temporaryFiles();
            try (RawHttpClient first = caller();
                    RawHttpClient second = caller()) {
                first.send(post("/ok", MAX_BODY_BYTES)).send(new byte[MAX_BODY_BYTES / 2]);
                second.send(post("/ok", MAX_BODY_BYTES)).send(new byte[MAX_BODY_BYTES]);
                second.answer();
                assertThat(before).containsAll(temporaryFiles());
                first.send(new byte[MAX_BODY_BYTES / 2]).answer();
                assertThat(before).containsAll(temporaryFiles());
            }
        }

        private static List<Path> temporaryFiles() throws IOException {
            try (Stream<Path> files = Files.list(Path.of(System.getProperty("java.io.tmpdir")))) {
                return files.toList();
            }
        }
    }

    @Nested
    class Heads {
        @Test
        void shouldRefuseTooManyHeaderFields() throws IOException {
            String headerField = "X-Filler: " + "f".repeat(1000) + "\r\n";
            try (RawHttpClient client = caller()) {
                client.send("GET /ok HTTP/1.1\r\nHost: x\r\n" + headerField.repeat(50) + "\r\n");
                assertRefused(client.answer(), RefusalType.HEADERS_TOO_LARGE, ExecutionStatus.NOT_RUN);
            }
            assertStillServes();
        }

        @Test
        void shouldRefuseStartLineThatIsTooLong() throws IOException {
            try (RawHttpClient client = caller()) {
                client.send("GET /" + "p".repeat(20_000) + " HTTP/1.1\r\nHost: x\r\n\r\n");
                assertRefused(client.answer(), RefusalType.HEADERS_TOO_LARGE, ExecutionStatus.NOT_RUN);
            }
            assertStillServes();
        }

        @ParameterizedTest
        @ValueSource(
                strings = {
                    "\u0001\u0002 nonsense\r\n\r\n",
                    "POST /ok HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
                    "POST /ok HTTP/1.1\r\nContent-Length: many\r\n\r\n",
                    "POST /ok HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nnot-a-size\r\nabc\r\n",
                    "POST /ok HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\nPOST /ok HTTP/1.1\r\n\r\n",
                    "POST /ok HTTP/1.1\r\nTransfer-Encoding:\r\n\r\nPOST /ok HTTP/1.1\r\n\r\n",
                    "POST /ok HTTP/1.1\r\nTransfer-Encoding: chunked;a=b\r\n\r\nPOST /ok HTTP/1.1\r\n\r\n",
                    "POST /ok HTTP/1.1\r\nTransfer-Encoding: chunked, gzip\r\n\r\n0\r\n\r\n",
                    "POST /ok HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
                })
        void shouldRefuseMalformedRequest(String text) throws IOException {
            try (RawHttpClient client = caller()) {
                assertRefused(client.send(text).answer(), RefusalType.MALFORMED_REQUEST, ExecutionStatus.NOT_RUN);
                assertThat(client.connectionClosed()).isTrue();
            }
            assertThat(service.served).hasValue(0);
            assertStillServes();
        }

        @Test
        void shouldSendContinueForAcceptedRequest() throws IOException {
            try (RawHttpClient client = caller()) {
                client.send("POST /ok HTTP/1.1\r\nContent-Length: 2\r\nExpect: 100-continue\r\n\r\n");
                assertThat(client.answer().status()).isEqualTo(100);
                assertThat(client.send("hi").answer().body()).isEqualTo("/ok 2");
            }
        }
    }

    @Nested
    class WrongRegion {
        @Test
        void shouldRefuseWithoutSendingContinue() throws IOException {
            try (RawHttpClient client = caller()) {
                client.send("POST /elsewhere HTTP/1.1\r\nContent-Length: 9\r\nExpect: 100-continue\r\n\r\n");
                RawHttpClient.RawResponse response = client.answer();
                assertRefused(response, RefusalType.WRONG_REGION, ExecutionStatus.NOT_RUN);
                assertThat(response.body()).contains(OTHER_REGION_ADDRESS.toString());
                assertThat(client.connectionClosed()).isTrue();
            }
        }

        @Test
        void shouldRefuseStalledBody() throws IOException {
            try (RawHttpClient client = caller()) {
                assertRefused(
                        client.send(post("/elsewhere", MAX_BODY_BYTES)).answer(),
                        RefusalType.WRONG_REGION,
                        ExecutionStatus.NOT_RUN);
            }
        }

        @Test
        void shouldDeliverRefusalWhileCallerStillSends() throws IOException {
            try (RawHttpClient client = caller()) {
                client.send(post("/elsewhere", MAX_BODY_BYTES)).send(new byte[MAX_BODY_BYTES / 2]);
                assertRefused(client.answer(), RefusalType.WRONG_REGION, ExecutionStatus.NOT_RUN);
            }
        }
    }

    @Nested
    class Connections {
        @Test
        void shouldAnswerPipelinedRequestsInOrder() throws IOException {
            try (RawHttpClient client = caller()) {
                StringBuilder all = new StringBuilder();
                for (int i = 0; i < 200; i++) {
                    all.append(post("/n" + i, 3)).append("abc");
                }
                client.send(all.toString());
                for (int i = 0; i < 200; i++) {
                    assertThat(client.answer().body()).isEqualTo("/n" + i + " 3");
                }
            }
        }

        @Test
        void shouldKeepConnectionAfterRefusalOfShortRequest() throws IOException {
            try (RawHttpClient client = caller()) {
                client.send(post("/unknown", 5) + "hello" + post("/ok", 2) + "hi");
                assertRefused(client.answer(), RefusalType.UNKNOWN_ROUTE, ExecutionStatus.NOT_RUN);
                assertThat(client.answer().body()).isEqualTo("/ok 2");
            }
        }

        @Test
        void shouldReportExecutionStatusOfRefusalByCheck() throws IOException {
            try (RawHttpClient client = caller()) {
                assertRefused(
                        client.send(post("/ticket-seen", 0)).answer(),
                        RefusalType.IN_PROGRESS,
                        ExecutionStatus.UNKNOWN);
            }
        }

        @Test
        void shouldReportThatServedRequestRan() throws IOException {
            try (RawHttpClient client = caller()) {
                assertThat(client.send(post("/ok", 0)).answer().headers()).containsEntry("x-ran", "ran");
            }
        }

        @Test
        void shouldLimitBufferedResponseOfClientThatDoesNotRead() throws Exception {
            try (RawHttpClient slow = caller()) {
                slow.send(post("/endless", 0));
                int before = -1;
                while (before != service.chunksSent.get() || before < 100) {
                    before = service.chunksSent.get();
                    assertThat(before).isLessThan(MAX_UNREAD_CHUNKS);
                    Thread.sleep(300);
                }
                assertStillServes();
            }
            service.failureLatch.await();
            assertThat(service.writeFailed).isTrue();
        }
    }

    @Nested
    class Budget {
        @Test
        void shouldReleaseReservedBytes() {
            BodyBudget budget = new BodyBudget(10_000);
            BodyCollector body = new BodyCollector(budget, java.util.OptionalLong.of(9_000), MAX_BODY_BYTES);
            byte[] part = new byte[4_500];
            Arrays.fill(part, (byte) 'x');

            assertThat(body.append(io.netty.buffer.Unpooled.wrappedBuffer(part)))
                    .isTrue();
            assertThat(body.append(io.netty.buffer.Unpooled.wrappedBuffer(part)))
                    .isTrue();
            assertThat(body.toByteArray()).hasSize(9_000).containsOnly('x');
            BodyCollector other = new BodyCollector(budget, java.util.OptionalLong.of(9_000), MAX_BODY_BYTES);
            assertThat(other.append(io.netty.buffer.Unpooled.wrappedBuffer(part)))
                    .isFalse();
            body.release();
            other.release();
            assertThat(budget.reservedBytes()).isZero();
        }
    }

    @Nested
    class Stop {
        /**
         * Guards against a request that is accepted after the drain of its instance, run and cut. The operating system
         * may still establish a connection, and then resets it.
         */
        @Test
        void shouldAcceptNoRequestOnANewConnection() {
            server.stopAccepting();

            assertThatThrownBy(() -> {
                        try (RawHttpClient late = caller()) {
                            late.send(post("/ok", 0)).answer();
                        }
                    })
                    .isInstanceOf(IOException.class);
            assertThat(service.served).hasValue(0);
        }

        @Test
        void shouldNotProcessARequestOnAKeptConnection() throws IOException {
            try (RawHttpClient kept = caller()) {
                assertThat(kept.send(post("/ok", 0)).answer().status()).isEqualTo(200);
                server.stopAccepting();

                assertThat(kept.connectionClosed()).isTrue();
            }
            assertThat(service.served).hasValue(1);
            awaitNoConnections();
        }

        @Test
        void shouldAnswerARequestWhoseBodyIsArriving() throws IOException {
            try (RawHttpClient upload = caller()) {
                upload.send("POST /ok HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n");
                assertThat(upload.answer().status()).isEqualTo(100);
                server.stopAccepting();
                assertThat(server.hasConnections()).isTrue();

                assertThat(upload.send("hi").answer().body()).isEqualTo("/ok 2");
                assertThat(upload.connectionClosed()).isTrue();
            }
            awaitNoConnections();
        }

        private void awaitNoConnections() {
            while (server.hasConnections()) {
                Thread.onSpinWait();
            }
        }
    }
}
