package org.ibissaddle.daemon.gateway;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.BooleanSupplier;
import java.util.random.RandomGenerator;
import org.ibissaddle.catalog.Fact;
import org.ibissaddle.catalog.Item;
import org.ibissaddle.daemon.http.Endpoint;
import org.ibissaddle.daemon.http.HttpClient;
import org.ibissaddle.id.Address;
import org.ibissaddle.id.InvalidNameException;
import org.ibissaddle.peer.PeerState;
import org.ibissaddle.peer.Peers;
import org.ibissaddle.peer.Rumour;
import org.ibissaddle.peer.ServiceLoad;

/** Exchanges messages with other instances: who is there, how busy regions are, and what the platform published. */
final class PeerCalls {
    private static final String PATH = "/ibissaddle/peers";
    /** Pause between rounds of messages, milliseconds. */
    private static final long ROUND_MS = 500;
    /** Instances that get a message in a round; bounds the traffic of large deployments. */
    private static final int MAX_TARGETS = 5;
    /** States of others in a message. */
    private static final int MAX_RUMOURS = 8;
    /** Changes of the platform in a message. */
    private static final int MAX_CHANGES = 400;
    /** Longest wait for an answer, milliseconds. */
    private static final long ANSWER_MS = 800;

    private static final int OK = 200;
    private static final HttpClient.SendOptions OPTIONS = new HttpClient.SendOptions(10_000, 400);

    private final GatewayCore core;
    private final JsonMapper mapper = JsonMapper.builder()
            .configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, false)
            .build();
    private final long incarnation = System.currentTimeMillis();
    private final RandomGenerator random = new SplittableRandom(incarnation);
    private BooleanSupplier platformReachable = () -> false;
    private long sequence;
    private List<String> lastAlive = List.of();

    PeerCalls(GatewayCore core) {
        this.core = core;
    }

    void start(BooleanSupplier reachable) {
        platformReachable = reachable;
        round();
        core.every(this::round, ROUND_MS);
    }

    /** Sends everyone the own state at once, since it has changed. */
    void announce() {
        round();
    }

    boolean isPeerCall(HttpRequest request) {
        return request.uri().equals(PATH);
    }

    /** Answers a message. */
    void answer(HttpRequest request, byte[] body, Inbound to) {
        try {
            PeerMessage message = mapper.readValue(body, PeerMessage.class);
            learn(message);
            byte[] reply = mapper.writeValueAsBytes(message(message.knownRevision(), message.wantsChanges()));
            HttpHeaders headers = new DefaultHttpHeaders().set("Content-Type", "application/json");
            to.sendHead(HttpResponseStatus.OK, headers, reply.length);
            to.sendPiece(Unpooled.wrappedBuffer(reply));
            to.sendEnd();
        } catch (IOException | InvalidNameException e) {
            core.log().notable("bad-peer-message", "reason", e.getMessage());
            Refusals.send(to, HttpResponseStatus.BAD_REQUEST, "the message can't be read", new DefaultHttpHeaders());
        }
    }

    /** The own state, as others are told. */
    PeerState self() {
        GatewaySettings settings = core.settings();
        Map<String, ServiceLoad> services = new HashMap<>();
        for (String service : core.backends().services()) {
            core.backends()
                    .waitMs(service, core.nowMs())
                    .ifPresent(waitMs -> services.put(
                            service, new ServiceLoad(core.backends().freeSlots(service, core.nowMs()), waitMs)));
        }
        return new PeerState(
                settings.name(),
                incarnation,
                ++sequence,
                settings.region(),
                settings.zone(),
                settings.callerAddress(),
                settings.peerAddress(),
                core.isReady(),
                core.isDraining(),
                core.catalog().revision(),
                platformReachable.getAsBoolean(),
                services);
    }

    private void round() {
        List<Fact> expired = core.catalog().expire(core.nowMs());
        core.learn(expired, "grace-over");
        for (Address target : core.peers().targets(core.settings().seeds(), MAX_TARGETS, random)) {
            send(target);
        }
        logChanges();
    }

    private void send(Address target) {
        try {
            byte[] body = mapper.writeValueAsBytes(message(Long.MAX_VALUE, false));
            HttpRequest request = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, PATH);
            request.headers().set("Host", target.toString()).set("Content-Length", body.length);
            long sentMs = core.nowMs();
            new WholeAnswer(
                            core,
                            ANSWER_MS,
                            (status, answer) -> answered(status, answer, core.nowMs() - sentMs),
                            reason -> core.peers().unreachable(target, core.nowMs()))
                    .send(new Endpoint("peer", target), request, Unpooled.wrappedBuffer(body), OPTIONS);
        } catch (IOException e) {
            core.log().notable("peer-message-unwritable", "reason", e.getMessage());
        }
    }

    private void answered(int status, byte[] body, long tookMs) {
        if (status != OK) {
            core.log().notable("peer-answered", "status", status);
            return;
        }
        try {
            PeerMessage message = mapper.readValue(body, PeerMessage.class);
            learn(message);
            core.peers().observedRoundTrip(message.sender().toPeerState().region(), tookMs);
        } catch (IOException | InvalidNameException e) {
            core.log().notable("bad-peer-message", "reason", e.getMessage());
        }
    }

    private void learn(PeerMessage message) {
        long nowMs = core.nowMs();
        core.peers().learn(new Rumour(message.sender().toPeerState(), 0), nowMs);
        for (PeerMessage.Heard heard : message.others()) {
            core.peers().learn(heard.toRumour(), nowMs);
        }
        if (!message.changes().isEmpty()) {
            core.learn(core.catalog().apply(message.changes(), nowMs), "peer");
            core.serversKnown();
        }
    }

    private PeerMessage message(long theirRevision, boolean theyWantChanges) {
        List<Item> changes = theyWantChanges && core.catalog().revision() > theirRevision
                ? core.catalog().changesAfter(theirRevision)
                : List.of();
        List<PeerMessage.Heard> others = new ArrayList<>();
        for (Rumour rumour : core.peers().rumours(MAX_RUMOURS, random, core.nowMs())) {
            others.add(PeerMessage.Heard.of(rumour));
        }
        return new PeerMessage(
                PeerMessage.State.of(self()),
                others,
                core.catalog().revision(),
                !platformReachable.getAsBoolean(),
                changes.size() > MAX_CHANGES ? List.of() : changes);
    }

    private void logChanges() {
        List<String> alive = core.peers().alive(core.nowMs()).stream()
                .map(state -> state.id().name())
                .toList();
        if (!alive.equals(lastAlive)) {
            core.log().notable("peers", "alive", alive, "silentMs", Peers.SILENT_MS);
            lastAlive = alive;
        }
    }
}
