package org.ibissaddle.daemon.peer;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.HexFormat;
import java.util.Map;
import org.ibissaddle.daemon.path.Headers;
import org.ibissaddle.id.Address;
import org.ibissaddle.membership.GossipCodec;
import org.ibissaddle.membership.MessageRejectedException;
import org.ibissaddle.ticket.DeploymentKey;

/** Questions to other instances; both directions are signed with the deployment's key. */
final class PeerClient {
    static final String QUESTION = "peer-question";
    static final String ANSWER = "peer-answer";
    private static final long TIMEOUT_MS = 1_000;
    private static final long LARGE_TIMEOUT_MS = 10_000;

    private final HttpCalls http;
    private final DeploymentKey key;

    PeerClient(HttpCalls http, DeploymentKey key) {
        this.http = http;
        this.key = key;
    }

    <T> T ask(Address peer, String path, Object question, Class<T> type) throws IOException, MessageRejectedException {
        byte[] body = GossipCodec.encode(question);
        Map<String, String> headers = Map.of(Headers.PEER_AUTH, signature(key, QUESTION, body));
        long timeoutMs = path.equals(PeerRoutes.GOSSIP) ? TIMEOUT_MS : LARGE_TIMEOUT_MS;
        HttpCalls.Answer answer = http.post(peer, path, headers, body, Headers.PEER_AUTH, timeoutMs);
        if (answer.status() != 200) {
            throw new MessageRejectedException(type, "the peer answered with status " + answer.status(), null);
        }
        byte[] reply = answer.body().getBytes(StandardCharsets.UTF_8);
        if (!matches(signature(key, ANSWER, reply), answer.header().orElse(""))) {
            throw new MessageRejectedException(type, "its signature is not of this deployment", null);
        }
        return GossipCodec.decode(reply, type);
    }

    static String signature(DeploymentKey key, String purpose, byte[] body) {
        return HexFormat.of().formatHex(key.sign(purpose, body));
    }

    static boolean matches(String expected, String given) {
        return MessageDigest.isEqual(
                expected.getBytes(StandardCharsets.US_ASCII), given.getBytes(StandardCharsets.US_ASCII));
    }
}
