package org.ibissaddle.backend;

/**
 * KV cache event of a server for one prompt part.
 *
 * @param model the model
 * @param partId id of the prompt part
 * @param keptTokens number of its tokens that are cached now, 0 if the part was evicted
 */
public record KvCacheEvent(String model, String partId, int keptTokens) {}
