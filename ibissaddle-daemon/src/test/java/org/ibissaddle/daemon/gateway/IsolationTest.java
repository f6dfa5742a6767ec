package org.ibissaddle.daemon.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.ibissaddle.catalog.CatalogItem;
import org.ibissaddle.catalog.StoreVersion;
import org.ibissaddle.daemon.http.Endpoint;
import org.ibissaddle.daemon.http.HttpClient;
import org.ibissaddle.daemon.log.DecisionLog;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards against an unexpected failure of one request or task that ends the work of others. */
@Timeout(30)
class IsolationTest {
    private static final String CONFIGURATION = """
            {"version":1,"routes":[
             {"name":"any","host":"h.example","pathPrefix":"/any/","kind":"idempotent","timeoutMs":9000,
              "targetLatencyMs":9000,"priority":0,"service":"ledger","maxAttempts":2}],
             "services":[{"name":"ledger","healthPath":"/healthz"}],"limits":{}}""";

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final DecisionLog log = new DecisionLog("north-1", OutputStream.nullOutputStream());
    private FakeBackendServer server;
    private GatewayCore core;

    @BeforeEach
    void start() throws IOException {
        server = new FakeBackendServer("s1");
        GatewaySettings settings = GatewayFixture.settings(
                "north-1",
                "north",
                GatewayFixture.freeAddress(),
                GatewayFixture.freeAddress(),
                GatewayFixture.freeAddress(),
                List.of(),
                server.address());
        core = new GatewayCore(settings, group.next(), () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime()), log);
    }

    @AfterEach
    void stop() throws IOException {
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
        log.close();
        server.close();
    }

    /** A caller whose connection fails unexpectedly when its state is read, from the given read on. */
    private static final class FailingCaller implements ResponseWriter {
        private final AtomicInteger reads = new AtomicInteger();
        private final int failingRead;
        private final CompletableFuture<HttpResponseStatus> status = new CompletableFuture<>();

        FailingCaller(int failingRead) {
            this.failingRead = failingRead;
        }

        @Override
        public void sendHead(HttpResponseStatus sent, HttpHeaders headers, long length) {
            status.complete(sent);
        }

        @Override
        public void sendContent(ByteBuf content) {
            content.release();
        }

        @Override
        public void sendEnd() {
            // The status is sufficient.
        }

        @Override
        public void abort() {
            status.completeExceptionally(new IOException("aborted"));
        }

        @Override
        public boolean isOpen() {
            if (reads.incrementAndGet() == failingRead) {
                throw new IllegalStateException("the connection fails");
            }
            return true;
        }

        @Override
        public boolean isWritable() {
            return true;
        }
    }

    private static CatalogItem item(String key, String json, long revision) {
        String value = Base64.getEncoder().encodeToString(json.getBytes(StandardCharsets.UTF_8));
        return new CatalogItem(key, value, new StoreVersion(0, revision));
    }

    private void publish(CatalogItem item) {
        core.applyCatalogEvents(core.catalog().apply(List.of(item), core.nowMs()), "test");
    }

    private void publishServer() {
        publish(item("servers/s1", GatewayFixture.entry(server.address()), 2));
    }

    private void send(FailingCaller caller) {
        HttpHeaders headers = new DefaultHttpHeaders().set("Host", "h.example").set("X-Attempt-Id", "7");
        IncomingRequest request = new IncomingRequest(
                HttpMethod.GET, "/any/7", headers, Unpooled.EMPTY_BUFFER, false, false, core.nowMs());
        core.requestIntake().add(new RequestExchange(core, request, caller));
    }

    /** Guards against queued requests that wait behind one which cannot be sent. */
    @Test
    void shouldSendAQueuedRequestBehindOneThatFails() {
        FailingCaller failing = new FailingCaller(4);
        FailingCaller sound = new FailingCaller(Integer.MAX_VALUE);
        core.execute(() -> {
            publish(item("op/config", CONFIGURATION, 1));
            publishServer();
            core.backends().all().forEach(unavailable -> unavailable.requireHealthCheck());
            send(failing);
            send(sound);
        });
        core.execute(() -> core.execute(
                () -> core.backends().all().forEach(checked -> checked.healthCheckSucceeded(0, core.nowMs()))));
        core.execute(() -> core.requestQueue().start());

        assertThat(sound.status.join()).isEqualTo(HttpResponseStatus.OK);
        assertThat(failing.status.join()).isEqualTo(HttpResponseStatus.SERVICE_UNAVAILABLE);
    }

    /** Guards against requests that wait for the first configuration behind one which cannot be sent. */
    @Test
    void shouldSendARequestThatWaitedForTheConfigurationBehindOneThatFails() {
        FailingCaller failing = new FailingCaller(2);
        FailingCaller sound = new FailingCaller(Integer.MAX_VALUE);
        core.execute(() -> {
            publishServer();
            send(failing);
            send(sound);
        });
        core.execute(() -> core.execute(() -> publish(item("op/config", CONFIGURATION, 3))));

        assertThat(sound.status.join()).isEqualTo(HttpResponseStatus.OK);
        assertThat(failing.status.join()).isEqualTo(HttpResponseStatus.SERVICE_UNAVAILABLE);
    }

    /** Guards against a periodic task that ends for good at its first failure. */
    @Test
    void shouldRepeatATaskThatFailed() throws InterruptedException {
        CountDownLatch runs = new CountDownLatch(3);
        core.scheduleWithFixedDelay(
                () -> {
                    runs.countDown();
                    throw new IllegalStateException("the task fails");
                },
                1);

        runs.await();
    }

    /** Guards against a reader of the store that makes no further call after a response that it cannot process. */
    @Test
    void shouldReportAResponseThatCannotBeProcessedAsAFailure() {
        CompletableFuture<String> failure = new CompletableFuture<>();
        core.execute(() -> new ResponseCollector(
                        core,
                        5_000,
                        1_024,
                        (status, body) -> {
                            throw new IllegalStateException("the response is not processed");
                        },
                        ended -> failure.complete(ended.reason()))
                .send(
                        new Endpoint("s1", server.address()),
                        new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/any/7"),
                        Unpooled.EMPTY_BUFFER,
                        new HttpClient.SendOptions(0, 1_000)));

        assertThat(failure.join()).contains("the response is not processed");
    }
}
