package org.ibissaddle.daemon.path;

import java.util.List;

/**
 * What the gateway reads of the JSON body of a model call.
 *
 * @param model name of the model as the caller wrote it
 * @param stream whether the answer is streamed
 * @param maxTokens bound of the tokens to generate
 * @param promptTokens estimated tokens of the prompt
 * @param prefix hash chain of the prompt's blocks, first block first
 */
public record ModelCall(String model, boolean stream, int maxTokens, int promptTokens, List<Long> prefix) {
    /** Copies the hash chain. */
    public ModelCall {
        prefix = List.copyOf(prefix);
    }
}
