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
import org.ibissaddle.daemon.path.GatewayHeaders;
import org.ibissaddle.daemon.state.SharedState;
import org.ibissaddle.dispatch.AttemptResult;
import org.ibissaddle.fleet.InstanceView;
import org.ibissaddle.fleet.ServerView;
import org.ibissaddle.id.Incarnation;
import org.ibissaddle.id.Region;
import org.ibissaddle.id.ServerId;
import org.ibissaddle.port.Clock;
import org.ibissaddle.quarantine.Crash;
import org.ibissaddle.quarantine.Fingerprint;
import org.ibissaddle.quarantine.Quarantine;
import org.ibissaddle.quarantine.QuarantineStatus;
import org.ibissaddle.quarantine.QuarantineUpdate;
import org.ibissaddle.ticket.DeploymentKey;

/**
 * Tracks the requests in flight at each engine. If an engine crashes, marks these requests and sends the marks to the
 * other instances of the region before any of the requests is retried.
 */
public final class CrashTracker implements ControlRoutes {
    private static final String PATH = "/peer/suspicions";
    private static final String SIGNATURE_PURPOSE = "suspicions";
    private static final int OK = 200;
    private static final long MARK_TTL_MS = 600_000;
    private static final int MAX_MARKS = 10_000;
    private static final int MAX_CRASHES = 3;
    private static final long BROADCAST_TIMEOUT_MS = 1_000;
    private static final ObjectMapper JSON = new ObjectMapper().registerModule(new Jdk8Module());

    private final SharedState state;
    private final DeploymentKey key;
    private final StreamClient client;
    private final Clock clock;
    private final EventLog log;
    private final Quarantine quarantine = new Quarantine(MARK_TTL_MS, MAX_MARKS, MAX_CRASHES);
    private final Map<ServerId, Set<InFlight>> inFlight = new ConcurrentHashMap<>();
    private final Set<ServerId> crashedServers = ConcurrentHashMap.newKeySet();

    /**
     * Creates a tracker without crashes.
     *
     * @param state release note in force and view of the fleet
     * @param key key of the deployment for message signatures and request fingerprints
     * @param client client for other instances
     * @param clock source of time
     * @param log log of the instance
     */
    public CrashTracker(SharedState state, DeploymentKey key, StreamClient client, Clock clock, EventLog log) {
        this.state = state;
        this.key = key;
        this.client = client;
        this.clock = clock;
        this.log = log;
    }

    /** Handle of a request in flight at an engine. Its body is hashed only if the engine crashes. */
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

    /** Records that a request is in flight at an engine until the handle is closed. */
    InFlight track(ServerId server, byte[] body, Optional<Region> home) {
        InFlight request = new InFlight(server, body, home);
        inFlight.computeIfAbsent(server, name -> ConcurrentHashMap.newKeySet()).add(request);
        return request;
    }

    /** Returns whether a request may run, must run isolated from other marked requests, or is refused. */
    QuarantineStatus status(byte[] body) {
        return quarantine.isEmpty()
                ? new QuarantineStatus.NotQuarantined()
                : quarantine.status(Fingerprint.of(key, body), clock.nowMs());
    }

    /** Records that an engine has accepted a request, so that its next failure counts as a new crash. */
    void recordAccepted(ServerId server) {
        if (!crashedServers.isEmpty()) {
            crashedServers.remove(server);
        }
    }

    /**
     * Returns the engines that have accepted no request since their crash. Another crash there would not be detected.
     */
    Set<ServerId> crashedServers() {
        return Set.copyOf(crashedServers);
    }

    /** Marks the requests that were in flight at a crashed engine. Has an effect only once per crash. */
    void recordCrash(ServerId server) {
        if (!crashedServers.add(server)) {
            return;
        }
        Map<Fingerprint, Optional<Region>> requests = new HashMap<>();
        for (InFlight request : inFlight.getOrDefault(server, Set.of())) {
            requests.put(Fingerprint.of(key, request.body), request.home);
        }
        long nowMs = clock.nowMs();
        log.warning("engine-crashed", "server", server, "in_flight", requests.size());
        broadcast(quarantine.recordCrash(Crash.of(server, incarnation(server), nowMs), requests, nowMs));
    }

    private Optional<Incarnation> incarnation(ServerId server) {
        return state.fleet().servers().stream()
                .filter(view -> view.id().equals(server))
                .findFirst()
                .flatMap(ServerView::incarnation);
    }

    /** Removes the marks of a request that has completed. */
    void recordCompletion(byte[] body) {
        if (!quarantine.isEmpty()) {
            broadcast(quarantine.recordCompletion(Fingerprint.of(key, body), clock.nowMs()));
        }
    }

    private void broadcast(QuarantineUpdate update) {
        if (update.equals(QuarantineUpdate.NONE)) {
            return;
        }
        Region region = state.fleet().self().region();
        byte[] body = encode(update);
        Map<String, String> headers =
                Map.of(GatewayHeaders.PEER_AUTH, HexFormat.of().formatHex(key.sign(SIGNATURE_PURPOSE, body)));
        state.fleet().peers().parallelStream()
                .filter(peer -> peer.region().equals(region))
                .forEach(peer -> send(peer, headers, body));
    }

    private void send(InstanceView peer, Map<String, String> headers, byte[] body) {
        StreamClient.StartResult.Failed result = client.fetch(
                new ServerId(peer.id().name()),
                StreamClient.postRequest(peer.controlAddress(), PATH, headers, body),
                BROADCAST_TIMEOUT_MS,
                call -> {});
        if (!(result.evidence() instanceof AttemptResult.Answered answered)
                || answered.answer().status() != OK) {
            log.warning("marks-not-told", "peer", peer.id());
        }
    }

    private static byte[] encode(QuarantineUpdate update) {
        try {
            return JSON.writeValueAsBytes(update);
        } catch (IOException e) {
            throw new IllegalStateException("crash marks cannot be encoded as JSON; please report this bug", e);
        }
    }

    @Override
    public void addTo(Jooby app) {
        app.post(PATH, this::receive);
    }

    private String receive(Context ctx) {
        byte[] body = ctx.body().bytes();
        String signature = ctx.header(GatewayHeaders.PEER_AUTH).value("");
        if (!signature.equals(HexFormat.of().formatHex(key.sign(SIGNATURE_PURPOSE, body)))) {
            ctx.setResponseCode(StatusCode.FORBIDDEN);
            return "";
        }
        try {
            quarantine.merge(JSON.readValue(body, QuarantineUpdate.class), clock.nowMs());
        } catch (IOException e) {
            ctx.setResponseCode(StatusCode.BAD_REQUEST);
        }
        return "";
    }
}
