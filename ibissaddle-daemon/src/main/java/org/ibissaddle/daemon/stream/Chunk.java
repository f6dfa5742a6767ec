package org.ibissaddle.daemon.stream;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;

/** One JSON chunk of a streamed answer, in chat or completion form. */
final class Chunk {
    /** What ends a stream. */
    static final String END_MARK = "[DONE]";

    private static final ObjectMapper JSON = new ObjectMapper();

    private final String data;
    private final JsonNode choice;
    private final JsonNode root;

    private Chunk(String data, JsonNode root) {
        this.data = data;
        this.root = root;
        this.choice = root.path("choices").path(0);
    }

    static Optional<Chunk> read(String data) {
        try {
            JsonNode root = JSON.readTree(data);
            return root.isObject() ? Optional.of(new Chunk(data, root)) : Optional.empty();
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

    boolean last() {
        return choice.path("finish_reason").isTextual();
    }

    /** The chunk with only a part of its text. */
    String withText(String part) {
        if (part.equals(text())) {
            return data;
        }
        if (choice.path("delta") instanceof ObjectNode delta) {
            delta.put("content", part);
        } else if (choice instanceof ObjectNode plain) {
            plain.put("text", part);
        }
        return root.toString();
    }
}
