package org.ibissaddle.daemon.stream;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;

/** JSON chunk of a streamed response of the chat completions or the completions API. */
final class CompletionChunk {
    /** Data of the event that terminates a stream. */
    static final String DONE_MARKER = "[DONE]";

    private static final ObjectMapper JSON = new ObjectMapper();

    private final String data;
    private final JsonNode choice;
    private final JsonNode root;

    private CompletionChunk(String data, JsonNode root) {
        this.data = data;
        this.root = root;
        this.choice = root.path("choices").path(0);
    }

    static Optional<CompletionChunk> parse(String data) {
        try {
            JsonNode root = JSON.readTree(data);
            return root.isObject() ? Optional.of(new CompletionChunk(data, root)) : Optional.empty();
        } catch (JsonProcessingException e) {
            return Optional.empty();
        }
    }

    String text() {
        JsonNode delta = choice.path("delta");
        return delta.isObject()
                ? delta.path("content").asText("")
                : choice.path("text").asText("");
    }

    boolean isLast() {
        return choice.path("finish_reason").isTextual();
    }

    /** Returns the data of the chunk with its text replaced. */
    String withText(String replacement) {
        if (replacement.equals(text())) {
            return data;
        }
        if (choice.path("delta") instanceof ObjectNode delta) {
            delta.put("content", replacement);
        } else if (choice instanceof ObjectNode completion) {
            completion.put("text", replacement);
        }
        return root.toString();
    }
}
