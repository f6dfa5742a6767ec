package org.ibissaddle.cli.call;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;

/**
 * A request that a client sends to the gateway.
 *
 * @param method HTTP method
 * @param path path and query
 * @param model model name, empty for calls of plain services
 * @param body JSON body
 */
public record Call(String method, String path, Optional<String> model, Optional<String> body) {
    private static final ObjectMapper JSON = new ObjectMapper();

    /**
     * Creates a streaming chat completion call.
     *
     * @param model name of the model
     * @param prompt text of the single user message
     * @param maxTokens maximum number of tokens in the response
     * @return the call
     */
    public static Call chat(String model, String prompt, int maxTokens) {
        ObjectNode body =
                JSON.createObjectNode().put("model", model).put("stream", true).put("max_tokens", maxTokens);
        body.putArray("messages").addObject().put("role", "user").put("content", prompt);
        return new Call("POST", "/v1/chat/completions", Optional.of(model), Optional.of(body.toString()));
    }

    /**
     * Creates a call of a plain service.
     *
     * @param method HTTP method
     * @param path path and query
     * @param body JSON body
     * @return the call
     */
    public static Call service(String method, String path, Optional<String> body) {
        return new Call(method, path, Optional.empty(), body);
    }
}
