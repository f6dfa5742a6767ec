package org.ibissaddle.note;

/**
 * Weights of the objectives that routing decisions trade off against each other.
 *
 * @param cost weight of cost
 * @param tail weight of tail latency
 * @param sentAway weight of the share of requests sent to other regions
 * @param firstTokenTargetMs target time to first token in milliseconds
 * @param hedging whether hedged requests are allowed for repeatable calls
 */
public record ObjectiveWeights(double cost, double tail, double sentAway, long firstTokenTargetMs, boolean hedging) {}
