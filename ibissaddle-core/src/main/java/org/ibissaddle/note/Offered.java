package org.ibissaddle.note;

import java.util.List;

/** What became of a note that was offered to a {@link NoteLedger}. */
public sealed interface Offered {
    /**
     * The note is in force now.
     *
     * @param note the note
     * @param source where it came from
     */
    record Accepted(ReleaseNote note, NoteSource source) implements Offered {}

    /**
     * The same note was in force already.
     *
     * @param number its number
     */
    record AlreadyInForce(long number) implements Offered {}

    /**
     * A note with a higher number is in force.
     *
     * @param number number of the offered note
     * @param inForce number in force
     */
    record Older(long number, long inForce) implements Offered {}

    /**
     * The number is in force with other content; the content in force stays.
     *
     * @param number the number
     * @param inForce digest in force
     * @param offered digest offered
     * @param source where the offered one came from
     */
    record Conflict(long number, String inForce, String offered, NoteSource source) implements Offered {}

    /**
     * The text is not an acceptable note; the note in force stays.
     *
     * @param faults all faults found
     * @param source where it came from
     */
    record Refused(List<NoteFault> faults, NoteSource source) implements Offered {
        /** Copies the faults. */
        public Refused {
            faults = List.copyOf(faults);
        }
    }
}
