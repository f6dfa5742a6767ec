package org.ibissaddle.backend;

import java.util.List;

/**
 * Resources that a request needs from a server.
 *
 * @param model the model, empty for a plain service
 * @param promptTokens length of the prompt in tokens
 * @param outputTokens maximum number of output tokens
 * @param promptParts the parts of the prompt, in order
 */
public record RequestDemand(String model, int promptTokens, int outputTokens, List<PromptPart> promptParts) {
    /** Request to a plain service, which has no prompt. */
    public static final RequestDemand PLAIN = new RequestDemand("", 0, 0, List.of());

    /** Makes a defensive copy of the prefix. */
    public RequestDemand {
        promptParts = List.copyOf(promptParts);
    }

    /**
     * Returns the prompt parts that may be shared with other requests: all except the last part.
     *
     * @return ids of the parts, in order
     */
    public List<String> sharedPartIds() {
        return promptParts.stream()
                .limit(Math.max(0, promptParts.size() - 1))
                .map(PromptPart::id)
                .toList();
    }

    /**
     * Returns the length of the prompt parts that may be shared with other requests: all except the last part, which is
     * specific to this request.
     *
     * @return number of tokens
     */
    public int sharedTokens() {
        int tokens = 0;
        for (int i = 0; i < promptParts.size() - 1; i++) {
            tokens += promptParts.get(i).tokens();
        }
        return tokens;
    }

    /**
     * Returns the length of the prompt that no server can have in its cache before the request.
     *
     * @return number of tokens
     */
    public int ownTokens() {
        return Math.max(0, promptTokens - sharedTokens());
    }
}
