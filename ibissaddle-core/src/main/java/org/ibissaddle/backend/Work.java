package org.ibissaddle.backend;

import java.util.List;

/**
 * What a request asks of a server.
 *
 * @param model the model, empty for a plain service
 * @param promptTokens length of the prompt, tokens
 * @param outputTokens most tokens of the answer
 * @param prefix the parts of the prompt, in order
 */
public record Work(String model, int promptTokens, int outputTokens, List<PromptPart> prefix) {
    /** Work of a plain service. */
    public static final Work PLAIN = new Work("", 0, 0, List.of());

    /** Copies the parts. */
    public Work {
        prefix = List.copyOf(prefix);
    }

    /**
     * Returns the length of the parts that other requests share; the last part is the request's own.
     *
     * @return tokens
     */
    public int sharedTokens() {
        int tokens = 0;
        for (int i = 0; i < prefix.size() - 1; i++) {
            tokens += prefix.get(i).tokens();
        }
        return tokens;
    }
}
