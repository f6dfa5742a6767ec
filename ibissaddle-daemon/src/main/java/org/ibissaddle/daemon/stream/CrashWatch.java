package org.ibissaddle.daemon.stream;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import io.jooby.Context;
import io.jooby.Jooby;
import io.jooby.StatusCode;
import java.io.IOException;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.ibissaddle.daemon.backend.StreamClient;
import org.ibissaddle.daemon.control.ControlRoutes;
import org.ibissaddle.daemon.log.EventLog;
import org.ibissaddle.daemon.path.Headers;
import org.ibissaddle.daemon.state.SharedState;
import org.ibissaddle.fleet.InstanceView;
import org.ibissaddle.fleet.ServerView;
import org.ibissaddle.id.Incarnation;
import org.ibissaddle.id.Region;
import org.ibissaddle.id.ServerId;
import org.ibissaddle.port.Clock;
import org.ibissaddle.quarantine.Crash;
import org.ibissaddle.quarantine.Fingerprint;
import org.ibissaddle.quarantine.Quarantine;
import org.ibissaddle.quarantine.Standing;
import org.ibissaddle.quarantine.Suspicions;
import org.ibissaddle.ticket.DeploymentKey;

/**
 * Knows which requests are in flight at which engine, marks them when it crashes, and tells the instances of the own
 * region before any of them is sent again.
 */
public final class CrashWatch implements ControlRoutes {
    private static final String PATH = "/peer/suspicions";
    private static final String PURPOSE = "suspicions";
    private static final long KEEP_MS = 600_000;
    private static final int MAX_MARKS = 10_000;
    private static final int MAX_CRASHES = 3;
    private static final long TELL_MS = 500;
    private static final ObjectMapper JSON = new ObjectMapper().registerModule(new Jdk8Module());

    private final SharedState state;
    private final DeploymentKey key;
    private final StreamClient client;
    private final Clock clock;
    private final EventLog log;
    private final Quarantine quarantine = new Quarantine(KEEP_MS, MAX_MARKS, MAX_CRASHES);
    private final Map<ServerId, Set<InFlight>> inFlight = new ConcurrentHashMap<>();
    private final Set<ServerId> down = ConcurrentHashMap.newKeySet();

    /**
     * Creates a watch that knows of no crash.
     *
     * @param state note and beliefs
     * @param key key of the deployment
     * @param client reaches other instances
     * @param clock source of time
     * @param log log of the instance
     */
    public CrashWatch(SharedState state, DeploymentKey key, StreamClient client, Clock clock, EventLog log) {
        this.state = state;
        this.key = key;
        this.client = client;
        this.clock = clock;
        this.log = log;
    }

    /** A request at an engine. The body is hashed only when it has to be. */
    final class InFlight implements AutoCloseable {
        private final ServerId server;
        private final byte[] body;
        private final Optional<Region> home;

        InFlight(ServerId server, byte[] body, Optional<Region> home) {
            this.server = server;
            this.body = body;
            this.home = home;
        }

        @Override
        public void close() {
            inFlight.getOrDefault(server, Set.of()).remove(this);
        }
    }

    /** Notes that a request is given to an engine, until the handle is closed. */
    InFlight enter(ServerId server, byte[] body, Optional<Region> home) {
        InFlight one = new InFlight(server, body, home);
        inFlight.computeIfAbsent(server, name -> ConcurrentHashMap.newKeySet()).add(one);
        return one;
    }

    /** Tells how a request is run. */
    Standing standing(byte[] body) {
        return quarantine.isEmpty()
                ? new Standing.Free()
                : quarantine.standing(Fingerprint.of(key, body), clock.nowMs());
    }

    /** Notes that an engine has taken a request: the next crash is a new one. */
    void alive(ServerId server) {
        if (!down.isEmpty()) {
            down.remove(server);
        }
    }

    /** Engines that have crashed and taken no request since; a crash there would not be noticed. */
    Set<ServerId> down() {
        return Set.copyOf(down);
    }

    /** Marks what was in flight at an engine that has crashed; once for each crash. */
    void crashed(ServerId server) {
        if (!down.add(server)) {
            return;
        }
        Map<Fingerprint, Optional<Region>> requests = new HashMap<>();
        for (InFlight one : inFlight.getOrDefault(server, Set.of())) {
            requests.put(Fingerprint.of(key, one.body), one.home);
        }
        long nowMs = clock.nowMs();
        log.warning("engine-crashed", "server", server, "in_flight", requests.size());
        tell(quarantine.crashed(Crash.of(server, incarnation(server), nowMs), requests, nowMs));
    }

    private Optional<Incarnation> incarnation(ServerId server) {
        return state.fleet().servers().stream()
                .filter(view -> view.id().equals(server))
                .findFirst()
                .flatMap(ServerView::incarnation);
    }

    /** Clears a request that has completed. */
    void completed(byte[] body) {
        if (!quarantine.isEmpty()) {
            tell(quarantine.completed(Fingerprint.of(key, body), clock.nowMs()));
        }
    }

    private void tell(Suspicions news) {
        if (news.equals(Suspicions.NONE)) {
            return;
        }
        Region region = state.fleet().self().region();
        byte[] body = encode(news);
        Map<String, String> headers = Map.of(Headers.PEER_AUTH, HexFormat.of().formatHex(key.sign(PURPOSE, body)));
        state.fleet().peers().parallelStream()
                .filter(peer -> peer.region().equals(region))
                .forEach(peer -> send(peer, headers, body));
    }

    private void send(InstanceView peer, Map<String, String> headers, byte[] body) {
        client.fetch(
                new ServerId(peer.id().name()),
                StreamClient.post(peer.controlAddress(), PATH, headers, body),
                TELL_MS,
                call -> {});
    }

    private static byte[] encode(Suspicions news) {
        try {
            return JSON.writeValueAsBytes(news);
        } catch (IOException e) {
            throw new IllegalStateException("marks cannot be written as JSON; report this fault", e);
        }
    }

    @Override
    public void addTo(Jooby app) {
        app.post(PATH, this::hear);
    }

    private String hear(Context ctx) {
        byte[] body = ctx.body().bytes();
        String signature = ctx.header(Headers.PEER_AUTH).value("");
        if (!signature.equals(HexFormat.of().formatHex(key.sign(PURPOSE, body)))) {
            ctx.setResponseCode(StatusCode.FORBIDDEN);
            return "";
        }
        try {
            quarantine.merge(JSON.readValue(body, Suspicions.class), clock.nowMs());
        } catch (IOException e) {
            ctx.setResponseCode(StatusCode.BAD_REQUEST);
        }
        return "";
    }
}
