package org.ibissaddle.route;

/**
 * Limits of a model engine.
 *
 * @param slots requests that it batches at once
 * @param kvTokens tokens that its KV cache holds
 * @param tokensPerEvent output tokens in one event of a stream
 */
public record EngineSpec(int slots, long kvTokens, int tokensPerEvent) {}
