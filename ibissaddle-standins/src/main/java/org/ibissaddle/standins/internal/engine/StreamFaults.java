package org.ibissaddle.standins.internal.engine;

import java.util.Optional;

/**
 * The faults of one answer, captured when it starts.
 *
 * @param notBeforeMs the earliest time of the first byte, in epoch milliseconds
 * @param crossed another request whose text is mixed into this answer
 * @param duplicateEvery sends every n-th event twice; 0 disables
 * @param gapEvery omits every n-th event; 0 disables
 * @param cutAfterEvents closes the connection after this many events; 0 disables
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
