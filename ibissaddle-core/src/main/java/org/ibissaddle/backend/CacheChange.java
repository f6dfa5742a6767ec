package org.ibissaddle.backend;

/**
 * What a server says of one prompt part in its KV cache.
 *
 * @param model the model
 * @param partId id of the part
 * @param keptTokens tokens that the server keeps of it now, 0 when it was evicted
 */
public record CacheChange(String model, String partId, int keptTokens) {}
