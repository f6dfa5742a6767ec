package org.ibissaddle.note;

import org.ibissaddle.internal.note.CanonicalText;
import org.ibissaddle.internal.note.Delta;

/**
 * Writes release notes as canonical text: the complete state, with sections and keys in a fixed order.
 *
 * <pre>{@code
 * String text = NoteWriter.write(note);
 * assert NoteReader.read(text).equals(note);
 * }</pre>
 */
public final class NoteWriter {
    private NoteWriter() {}

    /**
     * Writes the complete state of a note.
     *
     * @param note the note
     * @return its canonical text
     */
    public static String write(ReleaseNote note) {
        return CanonicalText.of(note);
    }

    /**
     * Writes the difference between two notes as additions, changes and withdrawals.
     *
     * @param base the base note
     * @param note the resulting note, with a higher number
     * @return text that yields the resulting note when it is read with the base note
     */
    public static String delta(ReleaseNote base, ReleaseNote note) {
        return Delta.between(base, note);
    }

    /**
     * Computes the digest of a note from its content, ignoring its digest field.
     *
     * @param note the note
     * @return SHA-256 of the canonical text in lowercase hexadecimal
     */
    public static String digest(ReleaseNote note) {
        return Digests.sha256(CanonicalText.of(note));
    }
}
