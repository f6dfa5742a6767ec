package org.ibissaddle.route;

/**
 * Limits of a model engine.
 *
 * @param slots requests that it batches at once
 * @param kvTokens tokens that its KV cache holds
 * @param tokensPerEvent output tokens in one event of a stream
 * @param kvBytesPerToken size of one token in the KV cache, bytes
 * @param linkMbps speed at which engines copy KV cache from each other, megabits a second; 0 when they can't
 */
public record EngineSpec(int slots, long kvTokens, int tokensPerEvent, long kvBytesPerToken, double linkMbps) {
    private static final double BITS_PER_BYTE = 8;
    private static final double BITS_PER_MS_AT_ONE_MBPS = 1_000;

    /**
     * Tells whether engines copy KV cache from each other.
     *
     * @return whether a link between them is declared
     */
    public boolean copiesCache() {
        return linkMbps > 0 && kvBytesPerToken > 0;
    }

    /**
     * Predicts how long it takes to copy cached tokens from another engine.
     *
     * @param tokens tokens
     * @return milliseconds
     */
    public double copyMs(double tokens) {
        return tokens * kvBytesPerToken * BITS_PER_BYTE / (linkMbps * BITS_PER_MS_AT_ONE_MBPS);
    }
}
