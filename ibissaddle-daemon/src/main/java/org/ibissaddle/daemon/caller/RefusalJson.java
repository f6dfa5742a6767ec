package org.ibissaddle.daemon.caller;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import org.ibissaddle.outcome.Refusal;

/** Encodes refusals as JSON responses. */
public final class RefusalJson {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long MS_PER_SECOND = 1000;

    private RefusalJson() {}

    /**
     * Encodes a refusal as a response body.
     *
     * @param refusal the refusal
     * @return JSON in UTF-8
     */
    public static byte[] encode(Refusal refusal) {
        ObjectNode root = JSON.createObjectNode();
        ObjectNode error = root.putObject("error");
        error.put("type", refusal.type().wireName());
        error.put("message", refusal.message());
        error.put("ran", refusal.executionStatus().wireName());
        refusal.retryAtMs().ifPresent(at -> error.put("retry_at_ms", at));
        if (!refusal.instances().isEmpty()) {
            var instances = error.putArray("instances");
            refusal.instances().forEach(address -> instances.add(address.toString()));
        }
        return root.toString().getBytes(StandardCharsets.UTF_8);
    }

    /**
     * Returns the header fields of the response to a refused request.
     *
     * @param refusal the refusal
     * @param nowMs current time in epoch milliseconds
     * @return header fields
     */
    public static Map<String, String> headers(Refusal refusal, long nowMs) {
        Map<String, String> headers = new HashMap<>();
        headers.put("content-type", "application/json");
        headers.put("x-ran", refusal.executionStatus().wireName());
        refusal.retryAtMs().ifPresent(at -> {
            long seconds = Math.max(1, (at - nowMs + MS_PER_SECOND - 1) / MS_PER_SECOND);
            headers.put("retry-after", Long.toString(seconds));
        });
        return headers;
    }
}
