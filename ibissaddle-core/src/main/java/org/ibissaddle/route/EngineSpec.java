package org.ibissaddle.route;

/**
 * Capacity of a model engine.
 *
 * @param slots maximum number of requests in a batch
 * @param kvTokens capacity of the KV cache in tokens
 * @param tokensPerEvent number of output tokens per event of a stream
 * @param kvBytesPerToken size of one token in the KV cache in bytes
 * @param linkMbps bandwidth of KV cache transfers between engines in megabits per second; 0 if they are not supported
 * @param maxCachePolls number of waiting polls for cache events that it holds; it rejects further ones
 */
public record EngineSpec(
        int slots, long kvTokens, int tokensPerEvent, long kvBytesPerToken, double linkMbps, int maxCachePolls) {
    private static final double BITS_PER_BYTE = 8;
    private static final double BITS_PER_MS_PER_MBPS = 1_000;

    /**
     * Creates the capacity of an engine that doesn't limit the waiting polls for cache events.
     *
     * @param slots maximum number of requests in a batch
     * @param kvTokens capacity of the KV cache in tokens
     * @param tokensPerEvent number of output tokens per event of a stream
     * @param kvBytesPerToken size of one token in the KV cache in bytes
     * @param linkMbps bandwidth of KV cache transfers between engines in megabits per second
     */
    public EngineSpec(int slots, long kvTokens, int tokensPerEvent, long kvBytesPerToken, double linkMbps) {
        this(slots, kvTokens, tokensPerEvent, kvBytesPerToken, linkMbps, Integer.MAX_VALUE);
    }

    /**
     * Returns whether engines can copy KV cache from each other.
     *
     * @return true if the bandwidth and the size of a token are declared
     */
    public boolean copiesCache() {
        return linkMbps > 0 && kvBytesPerToken > 0;
    }

    /**
     * Predicts the time to copy cached tokens from another engine.
     *
     * @param tokens number of tokens
     * @return time in milliseconds
     */
    public double copyMs(double tokens) {
        return tokens * kvBytesPerToken * BITS_PER_BYTE / (linkMbps * BITS_PER_MS_PER_MBPS);
    }
}
