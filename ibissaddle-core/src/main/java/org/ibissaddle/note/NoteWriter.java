package org.ibissaddle.note;

import org.ibissaddle.internal.note.CanonicalText;
import org.ibissaddle.internal.note.Delta;

/**
 * Writes release notes in their canonical text: the whole state, sections and keys in a fixed order.
 *
 * <pre>{@code
 * String text = NoteWriter.write(note);
 * assert NoteReader.read(text).equals(note);
 * }</pre>
 */
public final class NoteWriter {
    private NoteWriter() {}

    /**
     * Writes a note.
     *
     * @param note the note
     * @return its canonical text
     */
    public static String write(ReleaseNote note) {
        return CanonicalText.of(note);
    }

    /**
     * Writes the additions, changes and withdrawals that lead from one note to another.
     *
     * @param base the note to start from
     * @param note the note to arrive at, with a greater number
     * @return text that gives the same note when it is read against the base
     */
    public static String delta(ReleaseNote base, ReleaseNote note) {
        return Delta.between(base, note);
    }

    /**
     * Computes the digest of a note from its content; the digest field is not looked at.
     *
     * @param note the note
     * @return SHA-256 of the canonical text, lower-case hexadecimal
     */
    public static String digest(ReleaseNote note) {
        return Digests.sha256(CanonicalText.of(note));
    }
}
