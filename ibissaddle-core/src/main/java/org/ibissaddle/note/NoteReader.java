package org.ibissaddle.note;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongFunction;
import org.ibissaddle.internal.note.Delta;
import org.ibissaddle.internal.note.IniParser;
import org.ibissaddle.internal.note.NoteBuilder;
import org.ibissaddle.internal.note.Section;

/**
 * Parses and validates release notes. The daemon and the command {@code note check} use the same validation.
 *
 * <pre>{@code
 * ReleaseNote note = NoteReader.read(text);
 * ReleaseNote next = NoteReader.read(delta, n -> n == note.number() ? Optional.of(note) : Optional.empty());
 * }</pre>
 *
 * <p>A note is INI text. It declares either the complete state or, with {@code base = N}, the sections that are added,
 * changed and withdrawn compared to the base note:
 *
 * <pre>
 * [note]
 * number = 8
 * base = 7
 * [add workspace yards]
 * requests-per-second = 20
 * [change pool inspection]
 * models = dossier@3, dossier@4
 * [withdraw route old]
 * </pre>
 *
 * <p>In a change, keys that are not listed keep their value, and an empty value removes the key.
 */
public final class NoteReader {
    private NoteReader() {}

    /**
     * Reads a note that declares the complete state.
     *
     * @param text INI text
     * @return the note
     * @throws NoteRejectedException with all validation errors, if there are any
     */
    public static ReleaseNote read(String text) throws NoteRejectedException {
        return read(text, number -> Optional.empty());
    }

    /**
     * Reads a note that declares the complete state or the changes to a base note.
     *
     * @param text INI text
     * @param bases finds a base note by its number
     * @return the note with the complete state
     * @throws NoteRejectedException with all validation errors, if there are any
     */
    public static ReleaseNote read(String text, LongFunction<Optional<ReleaseNote>> bases)
            throws NoteRejectedException {
        List<NoteFault> faults = new ArrayList<>();
        Map<String, Section> sections = IniParser.parse(text, faults);
        Map<String, Section> completeSections = Delta.expand(sections, bases, faults);
        Optional<ReleaseNote> note = NoteBuilder.build(completeSections, faults);
        if (!faults.isEmpty() || note.isEmpty()) {
            throw new NoteRejectedException(faults);
        }
        return note.get();
    }

    /**
     * Returns the number of the base note in a text, without validating the note.
     *
     * @param text INI text
     * @return number of the base, or empty if the note declares the complete state or cannot be parsed
     */
    public static Optional<Long> parseBaseNumber(String text) {
        return Delta.parseBaseNumber(IniParser.parse(text, new ArrayList<>()));
    }

    /**
     * Returns the number of the note in a text, without validating the note.
     *
     * @param text INI text
     * @return number of the note, or empty if the text has none
     */
    public static Optional<Long> parseNumber(String text) {
        Section note = IniParser.parse(text, new ArrayList<>()).get("note");
        try {
            return note == null
                    ? Optional.empty()
                    : Optional.of(Long.parseLong(note.values().get("number")));
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }
}
