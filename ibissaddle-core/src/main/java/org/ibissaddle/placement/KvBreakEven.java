package org.ibissaddle.placement;

import java.util.OptionalLong;

/** Weighs moving the KV cache of a prefix over a link against reading the prefix again. */
public final class KvBreakEven {
    private static final double MS_PER_SECOND = 1_000;

    private KvBreakEven() {}

    /**
     * Time to move a prefix.
     *
     * @param tokens length of the prefix
     * @param bytesPerToken size of the KV cache of a token
     * @param bytesPerSecond rate that the link has left
     * @param roundTripMs round-trip time of the link
     * @return milliseconds
     */
    public static double transferMs(long tokens, double bytesPerToken, double bytesPerSecond, double roundTripMs) {
        return roundTripMs + tokens * bytesPerToken / bytesPerSecond * MS_PER_SECOND;
    }

    /**
     * Time to read a prefix again.
     *
     * @param tokens length of the prefix
     * @param prefillTokensPerSecond speed of reading
     * @return milliseconds
     */
    public static double recomputeMs(long tokens, double prefillTokensPerSecond) {
        return tokens / prefillTokensPerSecond * MS_PER_SECOND;
    }

    /**
     * Finds the shortest prefix that is moved faster than read again.
     *
     * @param bytesPerToken size of the KV cache of a token
     * @param bytesPerSecond rate that the link has left
     * @param roundTripMs round-trip time of the link
     * @param prefillTokensPerSecond speed of reading
     * @return tokens; empty when moving never pays
     */
    public static OptionalLong fromTokens(
            double bytesPerToken, double bytesPerSecond, double roundTripMs, double prefillTokensPerSecond) {
        double saved = MS_PER_SECOND / prefillTokensPerSecond - bytesPerToken / bytesPerSecond * MS_PER_SECOND;
        return saved <= 0 ? OptionalLong.empty() : OptionalLong.of((long) Math.ceil(roundTripMs / saved));
    }

    /**
     * Decides for one prefix.
     *
     * @param tokens length of the prefix
     * @param bytesPerToken size of the KV cache of a token
     * @param bytesPerSecond rate that the link has left
     * @param roundTripMs round-trip time of the link
     * @param prefillTokensPerSecond speed of reading
     * @param budgetBytes bytes that may be used now
     * @return whether moving pays and fits the budget
     */
    public static boolean transfer(
            long tokens,
            double bytesPerToken,
            double bytesPerSecond,
            double roundTripMs,
            double prefillTokensPerSecond,
            double budgetBytes) {
        return tokens * bytesPerToken <= budgetBytes
                && transferMs(tokens, bytesPerToken, bytesPerSecond, roundTripMs)
                        < recomputeMs(tokens, prefillTokensPerSecond);
    }
}
