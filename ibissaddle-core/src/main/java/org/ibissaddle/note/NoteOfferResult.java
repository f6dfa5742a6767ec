package org.ibissaddle.note;

import java.util.List;

/** The outcome of offering a note to a {@link NoteLedger}. */
public sealed interface NoteOfferResult {
    /**
     * The note was accepted and is now in force.
     *
     * @param note the note
     * @param source the source of the note
     */
    record Accepted(ReleaseNote note, NoteSource source) implements NoteOfferResult {}

    /**
     * The same note is already in force.
     *
     * @param number number of the note
     */
    record AlreadyInForce(long number) implements NoteOfferResult {}

    /**
     * A note with a higher number is in force.
     *
     * @param number number of the offered note
     * @param inForce number of the note in force
     */
    record Older(long number, long inForce) implements NoteOfferResult {}

    /**
     * The note in force has the same number but different content, and remains in force.
     *
     * @param number number of both notes
     * @param inForce digest of the note in force
     * @param offered digest of the offered note
     * @param source the source of the offered note
     */
    record Conflict(long number, String inForce, String offered, NoteSource source) implements NoteOfferResult {}

    /**
     * The note is invalid; the note in force remains in force.
     *
     * @param faults all validation errors found
     * @param source the source of the note
     */
    record Refused(List<NoteFault> faults, NoteSource source) implements NoteOfferResult {
        /** Makes a defensive copy of the validation errors. */
        public Refused {
            faults = List.copyOf(faults);
        }
    }
}
