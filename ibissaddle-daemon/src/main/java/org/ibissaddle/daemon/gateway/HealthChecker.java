package org.ibissaddle.daemon.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.util.HashSet;
import java.util.Set;
import java.util.function.Consumer;
import org.ibissaddle.backend.BackendServer;
import org.ibissaddle.daemon.http.CallFailure;
import org.ibissaddle.daemon.http.HttpClient;
import org.ibissaddle.daemon.http.ResponseListener;
import org.ibissaddle.platform.HeaderDecoder;
import org.ibissaddle.platform.PlatformHeaders;
import org.ibissaddle.route.ServiceSpec;

/**
 * Checks servers whose connections failed before they receive requests again: another server may use the address by
 * now, or the same server may have restarted with cold caches.
 */
final class HealthChecker {
    /** Interval between checks of a server, milliseconds. */
    private static final long CHECK_INTERVAL_MS = 250;
    /** Maximum time to wait for a response, milliseconds. */
    private static final long TIMEOUT_MS = 500;

    /** Lateness of a timer above which this process was too busy to read responses, milliseconds. */
    private static final long MAX_TIMER_LAG_MS = 50;

    private static final HttpClient.SendOptions NEW_CONNECTION = new HttpClient.SendOptions(0, 300);

    private final GatewayCore core;
    private final Set<BackendServer> suspects = new HashSet<>();
    /** Servers whose latest check had an inconclusive failure. */
    private final Set<BackendServer> failedOnce = new HashSet<>();

    /** What a check says about a server. */
    private enum Finding {
        HEALTHY,
        /** The server does not accept connections or does not respond, or another server responds at its address. */
        UNREACHABLE,
        /** The check failed in a way in which one of a running server may fail, such as by a connection reset. */
        INCONCLUSIVE,
        /** The check could not be made for a reason that lies in this process. */
        NONE
    }

    HealthChecker(GatewayCore core) {
        this.core = core;
    }

    /** Excludes a server from selection until a check succeeds. */
    void markSuspect(BackendServer server) {
        server.requireHealthCheck();
        core.client().closeIdleConnections(GatewayCore.endpoint(server));
        if (suspects.add(server)) {
            core.log().notice("server-doubted", "server", server.entry().id());
            check(server);
        }
    }

    private void check(BackendServer server) {
        if (core.backends().server(server.entry().id()).filter(server::equals).isEmpty()) {
            suspects.remove(server);
            failedOnce.remove(server);
            return;
        }
        if (!core.backends().isEligible(server) || server.isHeldOff(core.nowMs())) {
            core.schedule(() -> check(server), CHECK_INTERVAL_MS);
            return;
        }
        new Check(server, this::onResult).send();
    }

    /** Checks again after a success: a server that is about to crash may still have answered. */
    private void recheck(BackendServer server) {
        if (!suspects.contains(server) && core.backends().isEligible(server) && !server.isHeldOff(core.nowMs())) {
            new Check(server, this::onRecheckResult).send();
        }
    }

    private void onResult(Check check) {
        BackendServer server = check.server;
        if (check.finding != Finding.HEALTHY) {
            recordFailedCheck(server, check.finding);
            core.schedule(() -> check(server), CHECK_INTERVAL_MS);
            return;
        }
        suspects.remove(server);
        failedOnce.remove(server);
        server.healthCheckSucceeded(check.coldMs, core.nowMs());
        core.log().notice("server-proven", "server", server.entry().id(), "coldMs", check.coldMs);
        core.onCapacityChanged(server.entry().service());
        if (core.crashGuard().awaitsCheck(server)) {
            core.schedule(() -> recheck(server), CHECK_INTERVAL_MS);
        }
    }

    private void onRecheckResult(Check check) {
        if (check.finding != Finding.HEALTHY && check.finding != Finding.NONE) {
            recordFailedCheck(check.server, check.finding);
            markSuspect(check.server);
        }
    }

    /** A server that does not respond has crashed, and so has one that fails two checks in a row in another way. */
    private void recordFailedCheck(BackendServer server, Finding finding) {
        boolean repeated = finding == Finding.INCONCLUSIVE && !failedOnce.add(server);
        if (finding == Finding.UNREACHABLE || repeated) {
            core.crashGuard().serverUnreachable(server);
        }
    }

    private final class Check implements ResponseListener {
        private final BackendServer server;
        private final Consumer<Check> onFinished;
        private HttpClient.Call call;
        private Finding finding = Finding.NONE;
        private long coldMs;
        private long expiryMs;
        private boolean finished;

        Check(BackendServer server, Consumer<Check> onFinished) {
            this.server = server;
            this.onFinished = onFinished;
        }

        void send() {
            String path = core.backends()
                    .serviceSpec(server.entry().service())
                    .map(ServiceSpec::healthPath)
                    .orElse("/");
            HttpRequest request = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, path);
            request.headers().set("Host", server.entry().address().toString());
            call = core.client()
                    .send(GatewayCore.endpoint(server), request, Unpooled.EMPTY_BUFFER, NEW_CONNECTION, this);
            expireAfter(TIMEOUT_MS);
        }

        @Override
        public void onResponseHead(HttpResponse head) {
            String id = head.headers().get(PlatformHeaders.SERVER_ID);
            boolean fromServer = server.entry().id().name().equals(id);
            if (fromServer || id == null) {
                core.serverSignals().record(server, head);
                boolean healthy = fromServer && head.status().equals(HttpResponseStatus.OK);
                finding = healthy ? Finding.HEALTHY : Finding.INCONCLUSIVE;
            } else {
                finding = Finding.UNREACHABLE;
            }
            coldMs = HeaderDecoder.decodeMillis(head.headers().get(PlatformHeaders.COLD_MS))
                    .orElse(0);
        }

        @Override
        public void onContent(ByteBuf content) {
            // The head is sufficient; the body is ignored.
        }

        @Override
        public void onComplete() {
            finish(finding);
        }

        @Override
        public void onFailure(CallFailure failure) {
            finish(
                    switch (failure) {
                        case CallFailure.NotSent ignored -> Finding.UNREACHABLE;
                        case CallFailure.ConnectionLost ignored -> Finding.INCONCLUSIVE;
                        case CallFailure.InvalidResponse ignored -> Finding.INCONCLUSIVE;
                        case CallFailure.LocalError ignored -> Finding.NONE;
                    });
        }

        private void expireAfter(long timeoutMs) {
            expiryMs = core.nowMs() + timeoutMs;
            core.schedule(this::expire, timeoutMs);
        }

        private void expire() {
            if (finished) {
                return;
            }
            if (core.nowMs() - expiryMs > MAX_TIMER_LAG_MS) {
                // The response may be waiting to be read by this process, which was late itself.
                expireAfter(CHECK_INTERVAL_MS);
                return;
            }
            call.cancel();
            finish(finding == Finding.NONE ? Finding.UNREACHABLE : Finding.INCONCLUSIVE);
        }

        private void finish(Finding result) {
            if (!finished) {
                finished = true;
                finding = result;
                onFinished.accept(this);
            }
        }
    }
}
