package org.ibissaddle.daemon.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Predicate;
import org.ibissaddle.backend.BackendServer;
import org.ibissaddle.backend.RequestDemand;
import org.ibissaddle.catalog.CatalogItem;
import org.ibissaddle.catalog.StoreVersion;
import org.ibissaddle.daemon.log.DecisionLog;
import org.ibissaddle.id.InstanceId;
import org.ibissaddle.id.Region;
import org.ibissaddle.id.Zone;
import org.ibissaddle.peer.PeerState;
import org.ibissaddle.peer.RelayedState;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards against counting what this instance itself ended as a failure of a server or another instance. */
@Timeout(30)
class OwnFailureTest {
    private static final String CONFIGURATION = """
            {"version":1,"routes":[
             {"name":"stream","host":"h.example","pathPrefix":"/","kind":"streaming","timeoutMs":9000,
              "targetLatencyMs":9000,"priority":0,"service":"ledger","maxAttempts":1}],
             "services":[{"name":"ledger","healthPath":"/healthz"}],"limits":{}}""";
    /** Number of consecutive failures that eject a server. */
    private static final int FAILURES = 3;

    /** Longer than the timeout of a health check, milliseconds. */
    private static final long LATENESS_MS = 800;

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

    /** A caller that reports the status of its response. */
    private static final class Caller implements ResponseWriter {
        private final CompletableFuture<HttpResponseStatus> status = new CompletableFuture<>();

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
            status.complete(HttpResponseStatus.BAD_GATEWAY);
        }

        @Override
        public boolean isOpen() {
            return true;
        }

        @Override
        public boolean isWritable() {
            return true;
        }
    }

    private void publish(String key, String json, long revision) {
        String value = Base64.getEncoder().encodeToString(json.getBytes(StandardCharsets.UTF_8));
        core.applyCatalogEvents(
                core.catalog().apply(List.of(new CatalogItem(key, value, new StoreVersion(0, revision))), 0), "test");
    }

    private HttpResponseStatus call() {
        Caller caller = new Caller();
        HttpHeaders headers = new DefaultHttpHeaders().set("Host", "h.example").set("X-Attempt-Id", "7");
        core.execute(() -> {
            IncomingRequest request = new IncomingRequest(
                    HttpMethod.GET, "/7", headers, Unpooled.EMPTY_BUFFER, false, false, core.nowMs());
            core.requestIntake().add(new RequestExchange(core, request, caller));
        });
        return caller.status.join();
    }

    /** Guards against ejecting servers because other responses use up the memory of this instance. */
    @Test
    void shouldNotEjectAServerForALackOfMemory() {
        server.respondWith(request -> "HTTP/1.1 200 OK\r\nX-Attempt-Id: 7\r\nX-Server-Seal: s\r\n"
                + "Content-Type: text/event-stream\r\nContent-Length: 40\r\n\r\nid: 1\ndata: a");
        core.execute(() -> {
            publish("op/config", CONFIGURATION, 1);
            publish("servers/s1", GatewayFixture.entry(server.address()), 2);
            MemoryBudget.Share others = core.responseMemory().new Share();
            for (int bytes = 1; others.tryResize(bytes); bytes++) {
                assertThat(bytes).isPositive();
            }
        });

        for (int i = 0; i < FAILURES; i++) {
            assertThat(call()).isEqualTo(HttpResponseStatus.BAD_GATEWAY);
        }

        assertThat(anyServer(known -> known.isEjected(core.nowMs()))).isFalse();
    }

    /** Guards against excluding an instance that answers, but not with a message that can be used. */
    @Test
    void shouldNotTakeAnInstanceForUnreachableThatAnswers() {
        server.respondWith(request -> "no response\r\n\r\n");
        PeerState peer = new PeerState(
                new InstanceId("south-1"),
                1,
                1,
                new Region("south"),
                new Zone("south-a"),
                server.address(),
                server.address(),
                true,
                false,
                StoreVersion.NONE,
                true,
                2,
                Map.of());
        core.execute(() -> core.peers().update(new RelayedState(peer, 0), core.nowMs()));

        CompletableFuture<Boolean> reachable = new CompletableFuture<>();
        for (int i = 1; i <= FAILURES; i++) {
            core.execute(core.peerGossip()::announce);
            while (server.arrivals().size() < i) {
                Thread.onSpinWait();
            }
        }
        core.execute(() -> reachable.complete(core.peers().alive(core.nowMs()).contains(peer)));

        assertThat(reachable.join()).isTrue();
    }

    /** Guards against taking a server for crashed whose response to a health check this instance reads too late. */
    @Test
    void shouldNotTakeAServerForCrashedWhenTheInstanceIsLate() {
        core.execute(() -> {
            publish("op/config", CONFIGURATION, 1);
            publish("servers/s1", GatewayFixture.entry(server.address()), 2);
        });
        HttpHeaders headers = new DefaultHttpHeaders().set("Host", "h.example").set("X-Attempt-Id", "7");
        CompletableFuture<RequestContent> content = new CompletableFuture<>();
        core.execute(() -> {
            IncomingRequest request = new IncomingRequest(
                    HttpMethod.GET, "/7", headers, Unpooled.EMPTY_BUFFER, false, false, core.nowMs());
            RequestAccess access = new RequestAccess(
                    core, request, core.route("h.example", "/7").orElseThrow());
            assertThat(access.check()).isEmpty();
            content.complete(new RequestContent(request, RequestDemand.PLAIN, access::granted));
            BackendServer lost = core.backends().all().iterator().next();
            core.crashGuard().recordConnectionLost(lost, OptionalLong.empty(), content.join());
            core.healthChecker().markSuspect(lost);
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(LATENESS_MS));
        });

        while (anyServer(BackendServer::isHealthCheckPending)) {
            Thread.onSpinWait();
        }
        CompletableFuture<Boolean> marked = new CompletableFuture<>();
        core.execute(() -> marked.complete(core.crashGuard().isSuspect(content.join())));
        assertThat(marked.join()).isFalse();
    }

    private boolean anyServer(Predicate<BackendServer> condition) {
        CompletableFuture<Boolean> any = new CompletableFuture<>();
        core.execute(() -> any.complete(core.backends().all().stream().anyMatch(condition)));
        return any.join();
    }
}
