package org.ibissaddle.daemon.path;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.Optional;
import org.ibissaddle.outcome.ExecutionStatus;
import org.ibissaddle.outcome.Refusal;
import org.ibissaddle.outcome.RefusalType;
import org.ibissaddle.outcome.RefusedException;

/** Parses the body of a model call in one pass, without building a tree or copying the prompt. */
final class ModelCallReader {
    private static final JsonFactory JSON = new JsonFactory();
    private static final int DEFAULT_MAX_TOKENS = 256;

    private ModelCallReader() {}

    /**
     * Parses a request body.
     *
     * @param body JSON in UTF-8
     * @return the fields that the gateway uses
     * @throws RefusedException if the body is not a valid model call
     */
    static ModelCall read(byte[] body) throws RefusedException {
        try (JsonParser parser = JSON.createParser(body)) {
            return read(parser);
        } catch (IOException e) {
            throw malformed("the body is not well-formed JSON in UTF-8");
        }
    }

    private static ModelCall read(JsonParser parser) throws IOException, RefusedException {
        if (parser.nextToken() != JsonToken.START_OBJECT) {
            throw malformed("the body is not a JSON object");
        }
        Optional<String> model = Optional.empty();
        boolean stream = false;
        int maxTokens = DEFAULT_MAX_TOKENS;
        PromptHasher promptHasher = new PromptHasher();
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String field = parser.currentName();
            JsonToken value = parser.nextToken();
            switch (field) {
                case "model" -> model = Optional.of(readString(field, parser));
                case "stream" -> stream = readBoolean(field, value);
                case "max_tokens", "max_completion_tokens" -> maxTokens = readPositiveInt(field, parser);
                case "messages", "prompt" -> hashPrompt(parser, promptHasher);
                default -> parser.skipChildren();
            }
        }
        if (parser.nextToken() != null) {
            throw malformed("the body has data after its JSON object");
        }
        if (model.isEmpty()) {
            throw malformed("field \"model\" is missing");
        }
        return new ModelCall(
                model.get(), stream, maxTokens, promptHasher.estimatedTokens(), promptHasher.blockHashes());
    }

    private static String readString(String field, JsonParser parser) throws IOException, RefusedException {
        if (parser.currentToken() != JsonToken.VALUE_STRING) {
            throw malformed("field \"" + field + "\" is not a string");
        }
        return parser.getText();
    }

    private static boolean readBoolean(String field, JsonToken value) throws RefusedException {
        if (value != JsonToken.VALUE_TRUE && value != JsonToken.VALUE_FALSE && value != JsonToken.VALUE_NULL) {
            throw malformed("field \"" + field + "\" is not a boolean");
        }
        return value == JsonToken.VALUE_TRUE;
    }

    private static int readPositiveInt(String field, JsonParser parser) throws IOException, RefusedException {
        if (parser.currentToken() != JsonToken.VALUE_NUMBER_INT || parser.getLongValue() <= 0) {
            throw malformed("field \"" + field + "\" is not a positive integer");
        }
        return (int) Math.min(Integer.MAX_VALUE, parser.getLongValue());
    }

    private static void hashPrompt(JsonParser parser, PromptHasher promptHasher) throws IOException {
        int depth = 0;
        do {
            JsonToken token = parser.currentToken();
            if (token.isStructStart()) {
                depth++;
            } else if (token.isStructEnd()) {
                depth--;
            } else if (token == JsonToken.VALUE_STRING && !"role".equals(parser.currentName())) {
                promptHasher.update(parser.getTextCharacters(), parser.getTextOffset(), parser.getTextLength());
            }
        } while (depth > 0 && parser.nextToken() != null);
    }

    private static RefusedException malformed(String message) {
        return new RefusedException(Refusal.of(RefusalType.MALFORMED_REQUEST, message, ExecutionStatus.NOT_RUN));
    }
}
