package org.ibissaddle.standins.internal.engine;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.ibissaddle.standins.internal.JsonCodec;
import org.ibissaddle.standins.internal.http.HttpExchange;
import org.ibissaddle.standins.internal.http.RequestRejectedException;

/**
 * A parsed completion request.
 *
 * @param id the request id
 * @param attempt the attempt number, starting at 0
 * @param priority the priority; 0 is the lowest
 * @param chat whether the answer uses the chat completion format
 * @param model the model name as sent by the caller
 * @param prompt the prompt, or the concatenated contents of all messages
 * @param continueText the prefix of the answer that the caller has already received
 * @param maxTokens the maximum number of words in the whole answer; 0 for the default
 * @param stream whether the answer is streamed
 */
public record CompletionRequest(
        String id,
        int attempt,
        int priority,
        boolean chat,
        String model,
        String prompt,
        String continueText,
        int maxTokens,
        boolean stream) {
    private static final int MAX_TOKENS = 100_000;

    /** Parses a request; {@code fallbackId} is the id of a request without an {@code X-Request-Id} header. */
    public static CompletionRequest of(HttpExchange exchange, boolean chat, String fallbackId)
            throws RequestRejectedException {
        ObjectNode body = JsonCodec.object(exchange.body());
        int maxTokens = body.path("max_tokens").asInt(0);
        if (maxTokens > MAX_TOKENS) {
            throw RequestRejectedException.badRequest("max_tokens " + maxTokens + " exceeds " + MAX_TOKENS);
        }
        return new CompletionRequest(
                exchange.header("X-Request-Id").orElse(fallbackId),
                (int) exchange.headerNumber("X-Attempt", 0),
                (int) exchange.headerNumber("X-Priority", 0),
                chat,
                required(body, "model"),
                chat ? messages(body) : required(body, "prompt"),
                body.path("continue_text").asText(""),
                maxTokens,
                body.path("stream").asBoolean(false));
    }

    private static String required(ObjectNode body, String field) throws RequestRejectedException {
        JsonNode value = body.path(field);
        if (!value.isTextual()) {
            throw RequestRejectedException.badRequest("field \"" + field + "\" is missing or not a string");
        }
        return value.asText();
    }

    private static String messages(ObjectNode body) throws RequestRejectedException {
        JsonNode messages = body.path("messages");
        if (!messages.isArray()) {
            throw RequestRejectedException.badRequest("field \"messages\" is missing or not an array");
        }
        StringBuilder text = new StringBuilder();
        for (JsonNode message : messages) {
            text.append(message.path("content").asText(""));
        }
        return text.toString();
    }
}
