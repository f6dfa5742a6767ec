package org.ibissaddle.note;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongFunction;
import org.ibissaddle.internal.note.Delta;
import org.ibissaddle.internal.note.IniText;
import org.ibissaddle.internal.note.NoteBuilder;
import org.ibissaddle.internal.note.Section;

/**
 * Reads and checks release notes. The daemon and {@code note check} share this checker.
 *
 * <pre>{@code
 * ReleaseNote note = NoteReader.read(text);
 * ReleaseNote next = NoteReader.read(delta, n -> n == note.number() ? Optional.of(note) : Optional.empty());
 * }</pre>
 *
 * <p>A note is INI. It declares the whole state, or with {@code base = N} what is added, changed and withdrawn:
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
 * <p>In a change, keys that are not named keep their value, and an empty value takes the key away.
 */
public final class NoteReader {
    private NoteReader() {}

    /**
     * Reads a note that declares the whole state.
     *
     * @param text INI text
     * @return the note
     * @throws NoteRejectedException with all faults, when there is any
     */
    public static ReleaseNote read(String text) throws NoteRejectedException {
        return read(text, number -> Optional.empty());
    }

    /**
     * Reads a note, whole or against a base.
     *
     * @param text INI text
     * @param bases finds the base by its number
     * @return the note with the whole state
     * @throws NoteRejectedException with all faults, when there is any
     */
    public static ReleaseNote read(String text, LongFunction<Optional<ReleaseNote>> bases)
            throws NoteRejectedException {
        List<NoteFault> faults = new ArrayList<>();
        Map<String, Section> sections = IniText.parse(text, faults);
        Map<String, Section> whole = Delta.expand(sections, bases, faults);
        Optional<ReleaseNote> note = NoteBuilder.build(whole, faults);
        if (!faults.isEmpty() || note.isEmpty()) {
            throw new NoteRejectedException(faults);
        }
        return note.get();
    }

    /**
     * Finds the base that a text names, without reading the rest.
     *
     * @param text INI text
     * @return number of the base, empty when the note declares the whole state or is unreadable
     */
    public static Optional<Long> baseOf(String text) {
        return Delta.base(IniText.parse(text, new ArrayList<>()));
    }

    /**
     * Finds the number that a text names, without reading the rest.
     *
     * @param text INI text
     * @return number of the note, empty when the text has none
     */
    public static Optional<Long> numberOf(String text) {
        Section note = IniText.parse(text, new ArrayList<>()).get("note");
        try {
            return note == null
                    ? Optional.empty()
                    : Optional.of(Long.parseLong(note.values().get("number")));
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }
}
