package org.ibissaddle.note;

import java.util.Optional;

/**
 * What operators see of the note at one instance.
 *
 * @param number number in force, 0 when there is none
 * @param digest digest in force
 * @param source where it came from
 * @param acceptedAtMs when it came into force here, epoch milliseconds
 * @param freshAtMs when a source last confirmed that no newer note is known, epoch milliseconds
 * @param behind whether a higher number was heard of
 * @param trouble last conflict or refusal since it came into force
 */
public record NoteStatus(
        long number,
        String digest,
        Optional<NoteSource> source,
        long acceptedAtMs,
        Optional<Long> freshAtMs,
        boolean behind,
        Optional<Offered> trouble) {}
