package org.ibissaddle.placement;

import java.util.OptionalLong;

/** Compares transferring the KV cache of a prefix over a link with recomputing it. */
public final class KvBreakEven {
    private static final double MS_PER_SECOND = 1_000;

    private KvBreakEven() {}

    /**
     * Returns the time to transfer the KV cache of a prefix.
     *
     * @param tokens length of the prefix in tokens
     * @param bytesPerToken KV cache size per token
     * @param bytesPerSecond available bandwidth of the link
     * @param roundTripMs round-trip time of the link
     * @return milliseconds
     */
    public static double transferMs(long tokens, double bytesPerToken, double bytesPerSecond, double roundTripMs) {
        return roundTripMs + tokens * bytesPerToken / bytesPerSecond * MS_PER_SECOND;
    }

    /**
     * Returns the time to recompute the KV cache of a prefix.
     *
     * @param tokens length of the prefix in tokens
     * @param prefillTokensPerSecond prefill throughput
     * @return milliseconds
     */
    public static double recomputeMs(long tokens, double prefillTokensPerSecond) {
        return tokens / prefillTokensPerSecond * MS_PER_SECOND;
    }

    /**
     * Returns the prefix length above which a transfer is faster than recomputing.
     *
     * @param bytesPerToken KV cache size per token
     * @param bytesPerSecond available bandwidth of the link
     * @param roundTripMs round-trip time of the link
     * @param prefillTokensPerSecond prefill throughput
     * @return length in tokens; empty when a transfer is never faster
     */
    public static OptionalLong breakEvenTokens(
            double bytesPerToken, double bytesPerSecond, double roundTripMs, double prefillTokensPerSecond) {
        double savedMsPerToken =
                MS_PER_SECOND / prefillTokensPerSecond - bytesPerToken / bytesPerSecond * MS_PER_SECOND;
        return savedMsPerToken <= 0
                ? OptionalLong.empty()
                : OptionalLong.of((long) Math.ceil(roundTripMs / savedMsPerToken));
    }

    /**
     * Returns whether the KV cache of a prefix should be transferred.
     *
     * @param tokens length of the prefix in tokens
     * @param bytesPerToken KV cache size per token
     * @param bytesPerSecond available bandwidth of the link
     * @param roundTripMs round-trip time of the link
     * @param prefillTokensPerSecond prefill throughput
     * @param budgetBytes bytes that may be transferred now
     * @return whether a transfer is faster than recomputing and fits the budget
     */
    public static boolean shouldTransfer(
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
