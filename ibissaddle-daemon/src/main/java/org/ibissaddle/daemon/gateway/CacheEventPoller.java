package org.ibissaddle.daemon.gateway;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import java.util.HashSet;
import java.util.Set;
import java.util.SplittableRandom;
import org.ibissaddle.backend.BackendServer;
import org.ibissaddle.backend.CachePollSchedule;
import org.ibissaddle.daemon.http.HttpClient;
import org.ibissaddle.platform.KvCacheProtocol;
import org.ibissaddle.platform.MalformedMessageException;
import org.ibissaddle.route.EngineSpec;
import org.ibissaddle.route.ServiceSpec;

/** Polls the engines of the region for changes of their prompt caches, so that all instances have the same view. */
final class CacheEventPoller {
    /** Interval between scans for new servers, milliseconds. */
    private static final long SCAN_INTERVAL_MS = 500;
    /** Delay after a failed poll, milliseconds. */
    private static final long FAILURE_DELAY_MS = 1_000;
    /** Maximum time to wait for a response that is due, milliseconds. */
    private static final long RESPONSE_TIMEOUT_MS = 800;

    /** Maximum size of a response, bytes. */
    private static final int MAX_RESPONSE_BYTES = 1_048_576;

    private static final int OK = 200;
    /** Status of a poll that the engine rejects because too many others wait. */
    private static final int TOO_MANY_POLLS = 429;

    private static final HttpClient.SendOptions OPTIONS = new HttpClient.SendOptions(3_000, 300);

    private final GatewayCore core;
    private final Set<BackendServer> polledServers = new HashSet<>();
    private final SplittableRandom random = new SplittableRandom();

    CacheEventPoller(GatewayCore core) {
        this.core = core;
    }

    void start() {
        core.scheduleWithFixedDelay(this::scan, SCAN_INTERVAL_MS);
    }

    private void scan() {
        for (BackendServer server : core.backends().all()) {
            boolean isEngine = core.backends()
                    .serviceSpec(server.entry().service())
                    .flatMap(ServiceSpec::engine)
                    .isPresent();
            if (isEngine && polledServers.add(server)) {
                new ServerPoller(server).poll();
            }
        }
    }

    private final class ServerPoller {
        private final BackendServer server;
        private final CachePollSchedule schedule = new CachePollSchedule(random);
        /** The first poll isn't held, because all instances may have noticed the server at the same time. */
        private long waitMs;

        private String epoch = "";
        private long nextSequence;

        ServerPoller(BackendServer server) {
            this.server = server;
        }

        private void poll() {
            if (core.backends()
                    .server(server.entry().id())
                    .filter(server::equals)
                    .isEmpty()) {
                polledServers.remove(server);
                return;
            }
            if (!core.backends().isEligible(server)
                    || server.isHealthCheckPending()
                    || server.isHeldOff(core.nowMs())) {
                pollAfter(FAILURE_DELAY_MS);
                return;
            }
            HttpRequest request = new DefaultHttpRequest(
                    HttpVersion.HTTP_1_1, HttpMethod.GET, KvCacheProtocol.changesTarget(nextSequence));
            request.headers()
                    .set("Host", server.entry().address().toString())
                    .set(KvCacheProtocol.WAIT_MS_HEADER, waitMs);
            new ResponseCollector(
                            core,
                            waitMs + RESPONSE_TIMEOUT_MS,
                            MAX_RESPONSE_BYTES,
                            head -> core.serverSignals().record(server, head),
                            this::onResponse,
                            failure -> onFailure(failure.reason()))
                    .send(GatewayCore.endpoint(server), request, Unpooled.EMPTY_BUFFER, OPTIONS);
        }

        private void onResponse(int status, byte[] body) {
            if (status == TOO_MANY_POLLS) {
                core.log().info("server-cache-busy", "server", server.entry().id(), "waitMs", waitMs);
                pollNext(false);
                return;
            }
            if (status != OK) {
                onFailure("status " + status);
                return;
            }
            try {
                KvCacheProtocol.Changes changes = KvCacheProtocol.decodeChanges(body);
                apply(changes);
                pollNext(!changes.changes().isEmpty());
            } catch (MalformedMessageException e) {
                onFailure(e.getMessage());
            }
        }

        private void apply(KvCacheProtocol.Changes changes) {
            if (!changes.epoch().equals(epoch)) {
                if (!epoch.isEmpty()) {
                    core.log()
                            .notice(
                                    "server-cache-lost",
                                    "server",
                                    server.entry().id(),
                                    "epoch",
                                    changes.epoch());
                    server.clearCacheEstimate();
                    core.crashGuard().serverRestarted(server.entry().id(), "cache lost");
                }
                epoch = changes.epoch();
            }
            if (changes.gap()) {
                core.log()
                        .info(
                                "server-cache-gap",
                                "server",
                                server.entry().id(),
                                "from",
                                nextSequence,
                                "to",
                                changes.next());
            }
            nextSequence = changes.next();
            changes.changes().forEach(server::applyCacheEvent);
        }

        private void onFailure(String reason) {
            core.log().info("server-cache-unknown", "server", server.entry().id(), "reason", reason);
            pollAfter(FAILURE_DELAY_MS);
        }

        private void pollNext(boolean hadNews) {
            int maxHeld = core.backends()
                    .serviceSpec(server.entry().service())
                    .flatMap(ServiceSpec::engine)
                    .map(EngineSpec::maxCachePolls)
                    .orElse(Integer.MAX_VALUE);
            int instances = core.peers().instancesInRegion(core.settings().region());
            CachePollSchedule.Poll next = schedule.next(hadNews, maxHeld, instances, KvCacheProtocol.MAX_WAIT_MS);
            waitMs = next.waitMs();
            pollAfter(next.delayMs());
        }

        private void pollAfter(long delayMs) {
            core.schedule(this::poll, delayMs);
        }
    }
}
