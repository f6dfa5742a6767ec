package org.ibissaddle.note;

/**
 * What the deployment weighs when a decision trades one measure for another.
 *
 * @param cost weight of cost
 * @param tail weight of tail latency
 * @param sentAway weight of the share of requests sent to another region
 * @param firstTokenTargetMs target time to first token, milliseconds
 * @param hedging whether repeatable calls may be hedged
 */
public record Weights(double cost, double tail, double sentAway, long firstTokenTargetMs, boolean hedging) {}
