package org.ibissaddle.daemon.peer;

import io.jooby.Context;
import io.jooby.Jooby;
import io.jooby.MediaType;
import io.jooby.StatusCode;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;
import java.util.function.Function;
import org.ibissaddle.daemon.control.ControlRoutes;
import org.ibissaddle.daemon.path.GatewayHeaders;
import org.ibissaddle.membership.Gossip;
import org.ibissaddle.membership.GossipCodec;
import org.ibissaddle.membership.ListRequest;
import org.ibissaddle.membership.MessageRejectedException;
import org.ibissaddle.membership.NoteRequest;
import org.ibissaddle.ticket.DeploymentKey;

/** Adds {@code POST /peer/gossip}, {@code /peer/note} and {@code /peer/list}. */
final class PeerRoutes implements ControlRoutes {
    static final String GOSSIP = "/peer/gossip";
    static final String NOTE = "/peer/note";
    static final String LIST = "/peer/list";

    private final ControlLoopRunner loop;
    private final DeploymentKey key;
    private final Consumer<Gossip> gossipListener;

    PeerRoutes(ControlLoopRunner loop, DeploymentKey key, Consumer<Gossip> gossipListener) {
        this.loop = loop;
        this.key = key;
        this.gossipListener = gossipListener;
    }

    @Override
    public void addTo(Jooby app) {
        app.post(GOSSIP, ctx -> handle(ctx, Gossip.class, this::handleGossip));
        app.post(NOTE, ctx -> handle(ctx, NoteRequest.class, loop::answer));
        app.post(LIST, ctx -> handle(ctx, ListRequest.class, loop::answer));
    }

    private Object handleGossip(Gossip gossip) {
        gossipListener.accept(gossip);
        return loop.answer(gossip);
    }

    private <Q> String handle(Context ctx, Class<Q> type, Function<Q, Object> handler) {
        byte[] body = ctx.body().bytes();
        String expected = PeerClient.signature(key, PeerClient.REQUEST_PURPOSE, body);
        if (!PeerClient.matches(expected, ctx.header(GatewayHeaders.PEER_AUTH).value(""))) {
            ctx.setResponseCode(StatusCode.FORBIDDEN);
            return "";
        }
        try {
            byte[] response = GossipCodec.encode(handler.apply(GossipCodec.decode(body, type)));
            ctx.setResponseType(MediaType.json);
            ctx.setResponseHeader(
                    GatewayHeaders.PEER_AUTH, PeerClient.signature(key, PeerClient.RESPONSE_PURPOSE, response));
            return new String(response, StandardCharsets.UTF_8);
        } catch (MessageRejectedException e) {
            ctx.setResponseCode(StatusCode.BAD_REQUEST);
            return "";
        }
    }
}
