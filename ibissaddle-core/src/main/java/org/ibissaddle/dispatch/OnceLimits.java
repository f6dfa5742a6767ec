package org.ibissaddle.dispatch;

/**
 * Bounds of the memory of outcomes.
 *
 * @param maxKeys most keys remembered
 * @param maxAnswerBytes longest answer kept for resends, bytes
 * @param maxTotalBytes all kept answers together, bytes
 * @param slackMs how long after its deadline a key is remembered, milliseconds
 */
public record OnceLimits(int maxKeys, int maxAnswerBytes, long maxTotalBytes, long slackMs) {
    /** Limits for an entry instance of today's size. */
    public static final OnceLimits DEFAULT = new OnceLimits(100_000, 16 * 1024, 64L * 1024 * 1024, 60_000);
}
