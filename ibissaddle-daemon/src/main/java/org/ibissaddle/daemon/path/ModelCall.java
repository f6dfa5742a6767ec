package org.ibissaddle.daemon.path;

import java.util.List;

/**
 * Fields of a model call's JSON body that the gateway uses.
 *
 * @param model model name as given by the client
 * @param stream whether the response is streamed
 * @param maxTokens maximum number of tokens to generate
 * @param promptTokens estimated number of tokens in the prompt
 * @param prefixHashes chained hashes of the prompt's blocks, in order
 */
public record ModelCall(String model, boolean stream, int maxTokens, int promptTokens, List<Long> prefixHashes) {
    /** Makes a defensive copy of the hashes. */
    public ModelCall {
        prefixHashes = List.copyOf(prefixHashes);
    }
}
