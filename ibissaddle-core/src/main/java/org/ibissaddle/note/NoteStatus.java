package org.ibissaddle.note;

import java.util.Optional;

/**
 * The status of the release note at one instance, as shown to operators.
 *
 * @param number number of the note in force; 0 if there is none
 * @param digest digest of the note in force
 * @param source the source of the note in force
 * @param acceptedAtMs when it was accepted at this instance, in epoch milliseconds
 * @param freshAtMs when a source last confirmed that it is the newest note, in epoch milliseconds
 * @param behind whether a source has reported a higher number
 * @param lastProblem last conflict or refusal since the note in force was accepted
 */
public record NoteStatus(
        long number,
        String digest,
        Optional<NoteSource> source,
        long acceptedAtMs,
        Optional<Long> freshAtMs,
        boolean behind,
        Optional<NoteOfferResult> lastProblem) {}
