package org.ibissaddle.backend;

import java.util.List;

/**
 * Resources that a request needs from a server.
 *
 * @param model the model, empty for a plain service
 * @param promptTokens length of the prompt in tokens
 * @param outputTokens maximum number of output tokens
 * @param prefix the parts of the prompt, in order
 */
public record Work(String model, int promptTokens, int outputTokens, List<PromptPart> prefix) {
    /** Request to a plain service, which has no prompt. */
    public static final Work PLAIN = new Work("", 0, 0, List.of());

    /** Makes a defensive copy of the prefix. */
    public Work {
        prefix = List.copyOf(prefix);
    }

    /**
     * Returns the length of the prompt parts that may be shared with other requests: all except the last part, which is
     * specific to this request.
     *
     * @return number of tokens
     */
    public int sharedTokens() {
        int tokens = 0;
        for (int i = 0; i < prefix.size() - 1; i++) {
            tokens += prefix.get(i).tokens();
        }
        return tokens;
    }
}
