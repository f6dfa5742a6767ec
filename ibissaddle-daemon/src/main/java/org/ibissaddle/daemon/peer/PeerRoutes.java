package org.ibissaddle.daemon.peer;

import io.jooby.Context;
import io.jooby.Jooby;
import io.jooby.MediaType;
import io.jooby.StatusCode;
import java.nio.charset.StandardCharsets;
import java.util.function.Function;
import org.ibissaddle.daemon.control.ControlRoutes;
import org.ibissaddle.daemon.path.Headers;
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

    private final LoopRunner loop;
    private final DeploymentKey key;

    PeerRoutes(LoopRunner loop, DeploymentKey key) {
        this.loop = loop;
        this.key = key;
    }

    @Override
    public void addTo(Jooby app) {
        app.post(GOSSIP, ctx -> answer(ctx, Gossip.class, loop::answer));
        app.post(NOTE, ctx -> answer(ctx, NoteRequest.class, loop::answer));
        app.post(LIST, ctx -> answer(ctx, ListRequest.class, loop::answer));
    }

    private <Q> String answer(Context ctx, Class<Q> type, Function<Q, Object> answerer) {
        byte[] body = ctx.body().bytes();
        String expected = PeerClient.signature(key, PeerClient.QUESTION, body);
        if (!PeerClient.matches(expected, ctx.header(Headers.PEER_AUTH).value(""))) {
            ctx.setResponseCode(StatusCode.FORBIDDEN);
            return "";
        }
        try {
            byte[] answer = GossipCodec.encode(answerer.apply(GossipCodec.decode(body, type)));
            ctx.setResponseType(MediaType.json);
            ctx.setResponseHeader(Headers.PEER_AUTH, PeerClient.signature(key, PeerClient.ANSWER, answer));
            return new String(answer, StandardCharsets.UTF_8);
        } catch (MessageRejectedException e) {
            ctx.setResponseCode(StatusCode.BAD_REQUEST);
            return "";
        }
    }
}
