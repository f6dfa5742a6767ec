package org.ibissaddle.daemon.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.ibissaddle.daemon.gateway.GatewayFixture.exchange;
import static org.ibissaddle.daemon.gateway.GatewayFixture.freeAddress;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicLong;
import org.ibissaddle.id.Address;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Load pattern: requests that arrive shortly before, during and late in the planned stop of an instance. */
class StopTest {
    /** Time after the stop signal at which the rest of the grace period is shorter than the timeout of the route. */
    private static final long LATE_MS = 3_000;
    /** Time after the stop signal at which callers no longer connect, and all requests are still accepted. */
    private static final long LINGERED_MS = 2_600;
    /** Number of responses that are larger than the buffers of the operating system together. */
    private static final int MAX_LARGE_RESPONSES = 8;

    private static final int RECEIVE_BUFFER_BYTES = 65_536;
    /** Time in which a drain checks its connections several times. */
    private static final long SEVERAL_CHECKS_MS = 300;

    private final AtomicLong nowMs = new AtomicLong(1_000_000);
    private final CountDownLatch answered = new CountDownLatch(1);
    private final ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor();
    private FakePlatformStore platform;
    private FakeBackendServer server;
    private Gateway gateway;
    private Address caller;
    private Address directory;
    private Address peers;

    @BeforeEach
    void start() throws IOException {
        platform = new FakePlatformStore();
        server = new FakeBackendServer("s1");
        platform.put("op/config", """
                {"version":1,"routes":[
                 {"name":"once","host":"h.example","pathPrefix":"/once/","kind":"non_idempotent","timeoutMs":20000,
                  "targetLatencyMs":300,"priority":0,"service":"ledger","maxAttempts":2}],
                 "services":[{"name":"ledger","healthPath":"/healthz"}],"limits":{}}""");
        platform.put("servers/s1", GatewayFixture.entry(server.address()));
        caller = freeAddress();
        directory = freeAddress();
        peers = freeAddress();
        GatewaySettings settings =
                GatewayFixture.settings("north-1", "north", caller, directory, peers, List.of(), platform.address());
        gateway = Gateway.start(settings, nowMs::get, OutputStream.nullOutputStream());
        GatewayFixture.awaitReadiness(directory, 200);
    }

    @AfterEach
    void stop() throws IOException {
        answered.countDown();
        threads.close();
        gateway.close();
        platform.close();
        server.close();
    }

    private Future<String> post(String id, String headers) {
        return threads.submit(() -> exchange(caller, request(id, headers)));
    }

    /** Returns nothing if the connection is refused, or reset by the operating system before it is accepted. */
    private static String responseTo(Address address, String request) throws IOException {
        try {
            return exchange(address, request);
        } catch (SocketException e) {
            return "";
        }
    }

    private static String request(String id, String headers) {
        return head(id, headers) + "x";
    }

    private static String head(String id, String headers) {
        return "POST /once/7 HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: " + id + "\r\n" + headers
                + "Content-Length: 1\r\n\r\n";
    }

    private void holdAnswers() {
        server.respondWith(request -> {
            awaitRelease();
            return FakeBackendServer.response(request, "200 OK", "X-Server-Seal: s\r\n", "kept");
        });
    }

    private void awaitRelease() {
        try {
            answered.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private Future<?> drain() throws IOException {
        Future<?> drained = threads.submit(() -> {
            gateway.drain();
            gateway.close();
            return null;
        });
        GatewayFixture.awaitReadiness(directory, 503);
        return drained;
    }

    private void awaitArrivals(int count) {
        while (server.arrivals().size() < count) {
            Thread.onSpinWait();
        }
    }

    @Test
    void shouldAnswerRequestsThatWereAcceptedJustBeforeTheStop() throws Exception {
        holdAnswers();
        List<Future<String>> responses = new ArrayList<>();
        for (int i = 0; i < 50; i++) {
            responses.add(post("a" + i, ""));
        }
        Future<?> drained = drain();
        awaitArrivals(50);
        answered.countDown();

        for (Future<String> response : responses) {
            assertThat(response.get()).startsWith("HTTP/1.1 200").endsWith("kept");
        }
        nowMs.addAndGet(LATE_MS);
        drained.get();
    }

    @Test
    void shouldAnswerARequestOnAKeptConnectionDuringTheStop() throws Exception {
        try (Socket kept = new Socket(InetAddress.getLoopbackAddress(), caller.port())) {
            Future<?> drained = drain();
            kept.getOutputStream().write(request("7", "").getBytes(StandardCharsets.ISO_8859_1));

            assertThat(GatewayFixture.readAll(kept.getInputStream())).startsWith("HTTP/1.1 200");
            nowMs.addAndGet(LATE_MS);
            drained.get();
        }
    }

    @Test
    void shouldNotPassOnARequestThatMayOutliveTheGracePeriod() throws Exception {
        holdAnswers();
        Future<String> early = post("early", "");
        awaitArrivals(1);
        Future<?> drained = drain();
        nowMs.addAndGet(LATE_MS);

        assertThat(post("late", "").get()).startsWith("HTTP/1.1 503").containsIgnoringCase("Retry-After");
        assertThat(server.arrivals()).hasSize(1);
        answered.countDown();
        assertThat(early.get()).startsWith("HTTP/1.1 200");
        drained.get();
    }

    @Test
    void shouldPassOnALateRequestThatEndsWithinTheGracePeriod() throws Exception {
        holdAnswers();
        Future<String> early = post("early", "");
        awaitArrivals(1);
        Future<?> drained = drain();
        nowMs.addAndGet(LATE_MS);
        Future<String> late = post("late", "X-Deadline-Ms: 200\r\n");

        assertThat(late.get()).matches("(?s)HTTP/1.1 50[24] .*");
        answered.countDown();
        assertThat(early.get()).startsWith("HTTP/1.1 200");
        drained.get();
    }

    /** Guards against requests that an instance accepts after its drain has ended, passes on and cuts by its exit. */
    @Test
    void shouldAcceptNoRequestAfterTheDrainHasEnded() throws Exception {
        Future<?> drained = threads.submit(() -> {
            gateway.drain();
            return null;
        });
        GatewayFixture.awaitReadiness(directory, 503);
        nowMs.addAndGet(LATE_MS);
        drained.get();

        for (Address address : List.of(caller, peers)) {
            assertThat(responseTo(address, request("late", "X-Deadline-Ms: 200\r\n")))
                    .doesNotContain("HTTP/1.1");
        }
        assertThat(server.arrivals()).isEmpty();
    }

    /** Guards against requests that an instance still passes on while it ends the others, and cuts by its exit. */
    @Test
    void shouldRefuseARequestWhoseBodyIsIncompleteAtTheEndOfTheGracePeriod() throws Exception {
        holdAnswers();
        Future<String> running = post("running", "");
        awaitArrivals(1);
        Future<?> drained = drain();
        try (Socket upload = new Socket(InetAddress.getLoopbackAddress(), caller.port())) {
            String head = head("upload", "Expect: 100-continue\r\n");
            upload.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
            byte[] interim = "HTTP/1.1 100 Continue\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1);
            assertThat(upload.getInputStream().readNBytes(interim.length)).isEqualTo(interim);
            nowMs.addAndGet(LATE_MS + 1_000);

            assertThat(GatewayFixture.readAll(upload.getInputStream()))
                    .startsWith("HTTP/1.1 503")
                    .containsIgnoringCase("Retry-After")
                    .doesNotContain("(reset)");
        }
        assertThat(running.get()).startsWith("HTTP/1.1 502");
        drained.get();
        assertThat(server.arrivals()).hasSize(1);
    }

    @Test
    void shouldGiveEveryRequestAFinalAnswerAtTheEndOfTheGracePeriod() throws Exception {
        holdAnswers();
        Future<String> running = post("running", "");
        awaitArrivals(1);
        Future<?> drained = drain();
        nowMs.addAndGet(LATE_MS + 1_000);

        assertThat(running.get()).startsWith("HTTP/1.1 502").doesNotContain("(reset)");
        drained.get();
    }

    /**
     * Guards against the loss of the end of a response that a slow caller is still reading when its instance stops. The
     * end is in the instance's own buffer after some number of responses that the operating system has accepted.
     */
    @Test
    void shouldSendTheWholeOfEachResponseToSlowCallers() throws Exception {
        String body = "x".repeat(1_000_000);
        server.respondWith(request -> FakeBackendServer.response(request, "200 OK", "X-Server-Seal: s\r\n", body));
        List<Socket> slow = new ArrayList<>();
        for (int responses = 1; responses <= MAX_LARGE_RESPONSES; responses++) {
            slow.add(pipeline(responses));
        }
        awaitNoMoreArrivals();
        Future<?> drained = drain();
        nowMs.addAndGet(LATE_MS);

        assertThatThrownBy(() -> drained.get(SEVERAL_CHECKS_MS, TimeUnit.MILLISECONDS))
                .isInstanceOf(TimeoutException.class);
        List<Future<String>> received = slow.stream()
                .map(socket -> threads.submit(
                        () -> new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1)))
                .toList();
        for (Future<String> responses : received) {
            assertThat(responses.get().split("HTTP/1.1 ", -1))
                    .allSatisfy(response -> assertThat(response.isEmpty() || response.endsWith("\r\n\r\n" + body))
                            .isTrue());
        }
        drained.get();
        for (Socket socket : slow) {
            socket.close();
        }
    }

    /** Sends requests whose responses are not read yet. */
    private Socket pipeline(int requests) throws IOException {
        Socket socket = new Socket();
        socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
        socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), caller.port()));
        for (int i = 0; i < requests; i++) {
            socket.getOutputStream().write(request(requests + "-" + i, "").getBytes(StandardCharsets.ISO_8859_1));
        }
        return socket;
    }

    private void awaitNoMoreArrivals() throws InterruptedException {
        int before = -1;
        while (server.arrivals().size() > before) {
            before = server.arrivals().size();
            Thread.sleep(SEVERAL_CHECKS_MS);
        }
    }

    /** Guards against closing a new connection whose request has not been read yet. */
    @Test
    void shouldAnswerTheFirstRequestOfANewConnectionDuringTheStop() throws Exception {
        server.respondWith(request -> {
            if (request.get("x-attempt-id").equals("running")) {
                awaitRelease();
            }
            return FakeBackendServer.response(request, "200 OK", "X-Server-Seal: s\r\n", "kept");
        });
        Future<String> running = post("running", "");
        awaitArrivals(1);
        Future<?> drained = drain();
        nowMs.addAndGet(LINGERED_MS);
        try (Socket fresh = new Socket(InetAddress.getLoopbackAddress(), caller.port())) {
            assertThatThrownBy(() -> drained.get(SEVERAL_CHECKS_MS, TimeUnit.MILLISECONDS))
                    .isInstanceOf(TimeoutException.class);
            fresh.getOutputStream().write(request("7", "").getBytes(StandardCharsets.ISO_8859_1));

            assertThat(GatewayFixture.readAll(fresh.getInputStream())).startsWith("HTTP/1.1 200");
        }
        nowMs.addAndGet(LATE_MS - LINGERED_MS);
        answered.countDown();
        assertThat(running.get()).startsWith("HTTP/1.1 200");
        drained.get();
    }
}
