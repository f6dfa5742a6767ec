package org.ibissaddle.standins.internal;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import java.io.IOException;
import org.ibissaddle.standins.internal.http.RequestRejectedException;

/** Reads and writes JSON with snake-case field names. */
public final class JsonCodec {
    private static final ObjectMapper LENIENT = JsonMapper.builder()
            .addModule(new Jdk8Module())
            .propertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE)
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .build();
    private static final ObjectMapper STRICT = LENIENT.copy().enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

    private JsonCodec() {}

    /** Serializes a value as UTF-8 JSON. */
    public static byte[] bytes(Object value) {
        try {
            return LENIENT.writeValueAsBytes(value);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("cannot serialize a value of " + value.getClass() + " as JSON", e);
        }
    }

    /** Serializes a value as a JSON string. */
    public static String text(Object value) {
        try {
            return LENIENT.writeValueAsString(value);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("cannot serialize a value of " + value.getClass() + " as JSON", e);
        }
    }

    /** Parses a request body as a JSON object. */
    public static ObjectNode object(byte[] body) throws RequestRejectedException {
        if (tree(body) instanceof ObjectNode object) {
            return object;
        }
        throw RequestRejectedException.badRequest("request body is not a JSON object");
    }

    /** Parses a request body into a type and ignores unknown fields. */
    public static <T> T parse(byte[] body, Class<T> type) throws RequestRejectedException {
        try {
            return LENIENT.readValue(body, type);
        } catch (IOException e) {
            throw RequestRejectedException.badRequest(
                    "request body is not a valid " + type.getSimpleName() + ": " + e.getMessage());
        }
    }

    /** Returns a copy of a record with the fields given in a JSON object replaced; unknown fields are rejected. */
    public static <T> T merge(T current, byte[] patch, Class<T> type) throws RequestRejectedException {
        ObjectNode merged = LENIENT.valueToTree(current);
        merged.setAll(object(patch));
        try {
            return STRICT.treeToValue(merged, type);
        } catch (JsonProcessingException e) {
            throw RequestRejectedException.badRequest(
                    "request body does not match " + type.getSimpleName() + ": " + e.getMessage());
        }
    }

    private static JsonNode tree(byte[] body) throws RequestRejectedException {
        try {
            return LENIENT.readTree(body);
        } catch (IOException e) {
            throw RequestRejectedException.badRequest("request body is not valid JSON: " + e.getMessage());
        }
    }
}
