package org.ibissaddle.daemon.stream;

import io.jooby.Jooby;
import io.jooby.StatusCode;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.ibissaddle.daemon.backend.StreamClient;
import org.ibissaddle.daemon.control.ControlRoutes;
import org.ibissaddle.daemon.state.SharedState;
import org.ibissaddle.id.RequestId;
import org.ibissaddle.port.Clock;
import org.ibissaddle.stream.StreamToken;
import org.ibissaddle.stream.StreamTokenCodec;
import org.ibissaddle.ticket.TicketException;

/**
 * Records streams that callers have resumed through another instance. The instance that lost the connection to the
 * caller must not cancel such a stream at the engine. A claim consists of the stream token, which only instances of the
 * deployment can sign.
 */
public final class StreamClaims implements ControlRoutes {
    private static final String PATH = "/peer/streams/claim";
    private static final long CLAIM_TTL_MS = 60_000;
    private static final int CLEANUP_THRESHOLD = 10_000;
    private static final long GRACE_PERIOD_MS = 2_000;

    private final SharedState state;
    private final StreamTokenCodec tokens;
    private final StreamClient client;
    private final Clock clock;
    private final Map<RequestId, Long> claimedAtMs = new ConcurrentHashMap<>();

    /**
     * Creates an instance without claims.
     *
     * @param state release note in force and view of the fleet
     * @param tokens decodes stream tokens
     * @param client sends claims and cancels responses
     * @param clock source of time
     */
    public StreamClaims(SharedState state, StreamTokenCodec tokens, StreamClient client, Clock clock) {
        this.state = state;
        this.tokens = tokens;
        this.client = client;
        this.clock = clock;
    }

    @Override
    public void addTo(Jooby app) {
        app.post(PATH, ctx -> {
            try {
                recordClaim(tokens.read(ctx.body().value("")));
            } catch (TicketException e) {
                ctx.setResponseCode(StatusCode.FORBIDDEN);
            }
            return "";
        });
    }

    private void recordClaim(StreamToken token) {
        long nowMs = clock.nowMs();
        if (claimedAtMs.size() >= CLEANUP_THRESHOLD) {
            claimedAtMs.values().removeIf(atMs -> atMs + CLAIM_TTL_MS <= nowMs);
        }
        claimedAtMs.put(token.request(), nowMs);
    }

    /** Notifies the instance that relayed a stream before that the caller has resumed it through this instance. */
    void claim(String encodedToken, StreamToken token) {
        if (token.instance().equals(state.fleet().self().id())) {
            recordClaim(token);
            return;
        }
        state.fleet()
                .peer(token.instance())
                .ifPresent(peer -> client.fetch(
                        new org.ibissaddle.id.ServerId(peer.id().name()),
                        StreamClient.postRequest(
                                peer.controlAddress(), PATH, Map.of(), encodedToken.getBytes(StandardCharsets.UTF_8)),
                        GRACE_PERIOD_MS / 2,
                        call -> {}));
    }

    /**
     * Cancels a stream whose caller has disconnected, unless the stream is claimed within the grace period before or
     * after the disconnect.
     */
    void cancelUnlessClaimed(Target target, RequestId request) {
        long disconnectedAtMs = clock.nowMs();
        long untilMs = disconnectedAtMs + GRACE_PERIOD_MS;
        Thread.ofVirtual().start(() -> {
            while (clock.nowMs() < untilMs) {
                if (!sleep(untilMs - clock.nowMs())) {
                    return;
                }
            }
            if (claimedAtMs.getOrDefault(request, 0L) < disconnectedAtMs - GRACE_PERIOD_MS) {
                client.cancel(target.address(), request);
            }
        });
    }

    private static boolean sleep(long ms) {
        try {
            Thread.sleep(Math.max(1, ms));
            return true;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }
}
