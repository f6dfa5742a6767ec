package org.ibissaddle.note;

import org.ibissaddle.internal.note.CanonicalText;

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
     * Computes the digest of a note from its content; the digest field is not looked at.
     *
     * @param note the note
     * @return SHA-256 of the canonical text, lower-case hexadecimal
     */
    public static String digest(ReleaseNote note) {
        return Digests.sha256(CanonicalText.of(note));
    }
}
