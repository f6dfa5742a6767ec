package org.ibissaddle.daemon.peer;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.HexFormat;
import java.util.Map;
import org.ibissaddle.daemon.path.GatewayHeaders;
import org.ibissaddle.id.Address;
import org.ibissaddle.membership.GossipCodec;
import org.ibissaddle.membership.MessageRejectedException;
import org.ibissaddle.ticket.DeploymentKey;

/** Client for requests to other instances. Requests and responses are signed with the deployment key. */
final class PeerClient {
    static final String REQUEST_PURPOSE = "peer-question";
    static final String RESPONSE_PURPOSE = "peer-answer";
    private static final long GOSSIP_TIMEOUT_MS = 1_000;
    private static final long DOCUMENT_TIMEOUT_MS = 10_000;

    private final ControlHttpClient http;
    private final DeploymentKey key;

    PeerClient(ControlHttpClient http, DeploymentKey key) {
        this.http = http;
        this.key = key;
    }

    <T> T request(Address peer, String path, Object message, Class<T> type)
            throws IOException, MessageRejectedException {
        byte[] body = GossipCodec.encode(message);
        Map<String, String> headers = Map.of(GatewayHeaders.PEER_AUTH, signature(key, REQUEST_PURPOSE, body));
        long timeoutMs = path.equals(PeerRoutes.GOSSIP) ? GOSSIP_TIMEOUT_MS : DOCUMENT_TIMEOUT_MS;
        ControlHttpClient.ControlResponse response =
                http.post(peer, path, headers, body, GatewayHeaders.PEER_AUTH, timeoutMs);
        if (response.status() != 200) {
            throw new MessageRejectedException(type, "the peer responded with status " + response.status(), null);
        }
        byte[] responseBody = response.body().getBytes(StandardCharsets.UTF_8);
        if (!matches(
                signature(key, RESPONSE_PURPOSE, responseBody),
                response.header().orElse(""))) {
            throw new MessageRejectedException(type, "its signature does not match the deployment key", null);
        }
        return GossipCodec.decode(responseBody, type);
    }

    static String signature(DeploymentKey key, String purpose, byte[] body) {
        return HexFormat.of().formatHex(key.sign(purpose, body));
    }

    static boolean matches(String expected, String given) {
        return MessageDigest.isEqual(
                expected.getBytes(StandardCharsets.US_ASCII), given.getBytes(StandardCharsets.US_ASCII));
    }
}
