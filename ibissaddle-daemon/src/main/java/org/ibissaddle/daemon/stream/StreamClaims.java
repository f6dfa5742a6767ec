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
import org.ibissaddle.stream.StreamTokens;
import org.ibissaddle.ticket.TicketException;

/**
 * Streams whose callers went on through another instance. The instance that lost the caller must not cancel them at the
 * engine. A claim is the stream token itself, which only instances of the deployment can sign.
 */
public final class StreamClaims implements ControlRoutes {
    private static final String PATH = "/peer/streams/claim";
    private static final long KEPT_MS = 60_000;
    private static final int MAX_KEPT = 10_000;
    private static final long GRACE_MS = 2_000;

    private final SharedState state;
    private final StreamTokens tokens;
    private final StreamClient client;
    private final Clock clock;
    private final Map<RequestId, Long> claimedAtMs = new ConcurrentHashMap<>();

    /**
     * Creates an empty set of claims.
     *
     * @param state note and beliefs
     * @param tokens reads stream tokens
     * @param client sends claims and cancels answers
     * @param clock source of time
     */
    public StreamClaims(SharedState state, StreamTokens tokens, StreamClient client, Clock clock) {
        this.state = state;
        this.tokens = tokens;
        this.client = client;
        this.clock = clock;
    }

    @Override
    public void addTo(Jooby app) {
        app.post(PATH, ctx -> {
            try {
                accept(tokens.read(ctx.body().value("")));
            } catch (TicketException e) {
                ctx.setResponseCode(StatusCode.FORBIDDEN);
            }
            return "";
        });
    }

    private void accept(StreamToken token) {
        long nowMs = clock.nowMs();
        if (claimedAtMs.size() >= MAX_KEPT) {
            claimedAtMs.values().removeIf(atMs -> atMs + KEPT_MS <= nowMs);
        }
        claimedAtMs.put(token.request(), nowMs);
    }

    /** Tells the instance that relayed a stream before that its caller goes on here. */
    void claim(String text, StreamToken token) {
        if (token.instance().equals(state.fleet().self().id())) {
            accept(token);
            return;
        }
        state.fleet()
                .peer(token.instance())
                .ifPresent(peer -> client.fetch(
                        new org.ibissaddle.id.ServerId(peer.id().name()),
                        StreamClient.post(peer.controlAddress(), PATH, Map.of(), text.getBytes(StandardCharsets.UTF_8)),
                        GRACE_MS / 2,
                        call -> {}));
    }

    /** Cancels a stream whose caller has gone, unless it goes on through another instance within a grace time. */
    void cancelUnlessClaimed(Target target, RequestId request) {
        long goneAtMs = clock.nowMs();
        long untilMs = goneAtMs + GRACE_MS;
        Thread.ofVirtual().start(() -> {
            while (clock.nowMs() < untilMs) {
                if (!pause(untilMs - clock.nowMs())) {
                    return;
                }
            }
            if (claimedAtMs.getOrDefault(request, 0L) < goneAtMs - GRACE_MS) {
                client.cancel(target.address(), request);
            }
        });
    }

    private static boolean pause(long ms) {
        try {
            Thread.sleep(Math.max(1, ms));
            return true;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }
}
