package org.ibissaddle.standins.internal.engine;

import java.util.Optional;

/**
 * The faults of one answer, fixed when it starts.
 *
 * @param notBeforeMs the earliest time of the first byte, in epoch milliseconds
 * @param crossed another request whose pieces appear in this answer
 * @param duplicateEvery every how many events one is sent twice; 0 for never
 * @param gapEvery every how many events one is left out; 0 for never
 * @param cutAfterEvents after how many events the connection is cut; 0 for never
 */
public record StreamFaults(
        long notBeforeMs, Optional<CompletionRequest> crossed, int duplicateEvery, int gapEvery, int cutAfterEvents) {

    boolean duplicates(int event) {
        return duplicateEvery > 0 && event % duplicateEvery == 0;
    }

    boolean omits(int event) {
        return gapEvery > 0 && event % gapEvery == 0;
    }

    boolean cutsAfter(int event) {
        return cutAfterEvents > 0 && event >= cutAfterEvents;
    }
}
