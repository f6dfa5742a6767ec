package org.ibissaddle.dispatch;

/**
 * Limits of the data that an {@link AtMostOnceLedger} stores.
 *
 * @param maxKeys maximum number of stored keys
 * @param maxAnswerBytes maximum size of a response stored for resends, bytes
 * @param maxTotalBytes maximum total size of stored responses, bytes
 * @param retentionAfterDeadlineMs how long a key is stored after its deadline, milliseconds
 */
public record AtMostOnceLimits(int maxKeys, int maxAnswerBytes, long maxTotalBytes, long retentionAfterDeadlineMs) {
    /** Default limits, sized for an instance of the current size. */
    public static final AtMostOnceLimits DEFAULT = new AtMostOnceLimits(100_000, 16 * 1024, 64L * 1024 * 1024, 60_000);
}
