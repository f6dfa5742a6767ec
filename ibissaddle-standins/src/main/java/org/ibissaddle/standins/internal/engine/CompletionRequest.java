package org.ibissaddle.standins.internal.engine;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.ibissaddle.standins.internal.Json;
import org.ibissaddle.standins.internal.http.Exchange;
import org.ibissaddle.standins.internal.http.RefusedException;

/**
 * A parsed completion request.
 *
 * @param id the request id
 * @param attempt the number of the attempt, from 0
 * @param priority the priority, 0 lowest
 * @param chat whether the answer takes the chat form
 * @param model the model as the caller named it
 * @param prompt the prompt, or the contents of all messages
 * @param continueText the part of the answer that the caller already has
 * @param maxTokens the most words of the whole answer; 0 for the default
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

    /** Parses a request. */
    public static CompletionRequest of(Exchange exchange, boolean chat, String fallbackId) throws RefusedException {
        ObjectNode body = Json.object(exchange.body());
        int maxTokens = body.path("max_tokens").asInt(0);
        if (maxTokens > MAX_TOKENS) {
            throw RefusedException.badRequest("max_tokens " + maxTokens + " exceeds " + MAX_TOKENS);
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

    private static String required(ObjectNode body, String field) throws RefusedException {
        JsonNode value = body.path(field);
        if (!value.isTextual()) {
            throw RefusedException.badRequest("field \"" + field + "\" is missing or not a text");
        }
        return value.asText();
    }

    private static String messages(ObjectNode body) throws RefusedException {
        JsonNode messages = body.path("messages");
        if (!messages.isArray()) {
            throw RefusedException.badRequest("field \"messages\" is missing or not a list");
        }
        StringBuilder text = new StringBuilder();
        for (JsonNode message : messages) {
            text.append(message.path("content").asText(""));
        }
        return text.toString();
    }
}
