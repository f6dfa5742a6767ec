package org.ibissaddle.daemon.gateway;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import java.util.HashSet;
import java.util.Set;
import org.ibissaddle.backend.BackendServer;
import org.ibissaddle.daemon.http.HttpClient;
import org.ibissaddle.platform.CacheProtocol;
import org.ibissaddle.platform.MalformedMessageException;
import org.ibissaddle.route.ServiceSpec;

/** Asks the engines of the region which prompt parts they keep, so that all instances know alike. */
final class CacheFeed {
    /** How often new servers are looked for, milliseconds. */
    private static final long SCAN_MS = 500;
    /** Pause between two questions to a server for each instance of the region, so that a server's load stays even. */
    private static final long PAUSE_PER_INSTANCE_MS = 200;
    /** Longest pause between two questions, milliseconds; older news is of little use. */
    private static final long MAX_PAUSE_MS = 2_000;
    /** Pause after a question that failed, milliseconds. */
    private static final long FAILURE_PAUSE_MS = 1_000;
    /** Longest wait for an answer that is due, milliseconds. */
    private static final long ANSWER_MS = 800;

    private static final int OK = 200;
    private static final HttpClient.SendOptions OPTIONS = new HttpClient.SendOptions(3_000, 300);

    private final GatewayCore core;
    private final Set<BackendServer> followed = new HashSet<>();

    CacheFeed(GatewayCore core) {
        this.core = core;
    }

    void start() {
        core.every(this::scan, SCAN_MS);
    }

    private void scan() {
        for (BackendServer server : core.backends().all()) {
            boolean isEngine = core.backends()
                    .spec(server.entry().service())
                    .flatMap(ServiceSpec::engine)
                    .isPresent();
            if (isEngine && followed.add(server)) {
                new Follower(server).ask();
            }
        }
    }

    private final class Follower {
        private final BackendServer server;
        private String epoch = "";
        private long from;

        Follower(BackendServer server) {
            this.server = server;
        }

        private void ask() {
            if (core.backends()
                    .server(server.entry().id())
                    .filter(server::equals)
                    .isEmpty()) {
                followed.remove(server);
                return;
            }
            if (!core.backends().isEligible(server) || server.isUnproven()) {
                askAfter(FAILURE_PAUSE_MS);
                return;
            }
            HttpRequest request =
                    new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, CacheProtocol.target(from));
            request.headers()
                    .set("Host", server.entry().address().toString())
                    .set(CacheProtocol.WAIT_MS, CacheProtocol.MAX_WAIT_MS);
            new WholeAnswer(core, CacheProtocol.MAX_WAIT_MS + ANSWER_MS, this::answered, this::failed)
                    .send(GatewayCore.endpoint(server), request, Unpooled.EMPTY_BUFFER, OPTIONS);
        }

        private void answered(int status, byte[] body) {
            if (status != OK) {
                failed("status " + status);
                return;
            }
            try {
                learn(CacheProtocol.changes(body));
                int sharers = core.peers().sharers(core.settings().region());
                askAfter(Math.min(MAX_PAUSE_MS, PAUSE_PER_INSTANCE_MS * sharers));
            } catch (MalformedMessageException e) {
                failed(e.getMessage());
            }
        }

        private void learn(CacheProtocol.Changes news) {
            if (!news.epoch().equals(epoch)) {
                if (!epoch.isEmpty()) {
                    core.log()
                            .notable(
                                    "server-cache-lost",
                                    "server",
                                    server.entry().id(),
                                    "epoch",
                                    news.epoch());
                    server.cacheLost();
                }
                epoch = news.epoch();
            }
            if (news.gap()) {
                core.log().routine("server-cache-gap", "server", server.entry().id(), "from", from, "to", news.next());
            }
            from = news.next();
            news.changes().forEach(server::cacheChanged);
        }

        private void failed(String reason) {
            core.log().routine("server-cache-unknown", "server", server.entry().id(), "reason", reason);
            askAfter(FAILURE_PAUSE_MS);
        }

        private void askAfter(long pauseMs) {
            core.schedule(this::ask, pauseMs);
        }
    }
}
