package org.ibissaddle.internal.membership;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.ibissaddle.note.NoteLedger;
import org.ibissaddle.note.NoteParts;
import org.ibissaddle.note.NoteReader;
import org.ibissaddle.note.NoteRejectedException;
import org.ibissaddle.note.ReleaseNote;

/**
 * Collects the values of a note from the platform's configuration: the parts of the note, and the base notes that are
 * not held locally.
 */
final class NoteAssembler {
    private static final int MAX_BASES = 16;

    private final NoteLedger ledger;
    private final Map<String, String> values = new HashMap<>();

    NoteAssembler(NoteLedger ledger) {
        this.ledger = ledger;
    }

    /** Next step of the assembly. */
    sealed interface Step {
        /** A value must be read first. */
        record MissingValue(String name) implements Step {}

        /** The note is complete. */
        record Complete(ReleaseNote note) implements Step {}

        /** The note on the platform is not newer than the one in the ledger; nothing more needs to be read. */
        record NotNewer(long number) implements Step {}
    }

    void start(String text) {
        values.clear();
        values.put(NoteParts.VALUE_NAME, text);
    }

    void add(String name, String text) {
        values.put(name, text);
    }

    boolean expects(String name) {
        return !name.equals(NoteParts.VALUE_NAME) && !values.isEmpty();
    }

    Step nextStep() throws NoteRejectedException {
        Optional<NoteParts.Index> index = NoteParts.parseIndex(values.get(NoteParts.VALUE_NAME));
        if (index.isPresent() && index.get().number() < ledger.number()) {
            return new Step.NotNewer(index.get().number());
        }
        Deque<String> texts = new ArrayDeque<>();
        String name = NoteParts.VALUE_NAME;
        while (texts.size() < MAX_BASES) {
            Optional<String> missing = missingValue(name);
            if (missing.isPresent()) {
                return new Step.MissingValue(missing.get());
            }
            String text = joinedText(name);
            texts.push(text);
            long number = NoteReader.parseNumber(text).orElse(0L);
            if (texts.size() == 1 && number > 0 && number < ledger.number()) {
                return new Step.NotNewer(number);
            }
            Optional<Long> base = NoteReader.parseBaseNumber(text);
            if (base.isEmpty() || ledger.findNote(base.get()).isPresent()) {
                break;
            }
            if (texts.size() == 1 && number == ledger.number()) {
                return new Step.NotNewer(number);
            }
            name = NoteParts.baseValueName(base.get());
        }
        return new Step.Complete(readChain(texts));
    }

    private Optional<String> missingValue(String name) throws NoteRejectedException {
        String text = values.get(name);
        if (text == null) {
            return Optional.of(name);
        }
        Optional<NoteParts.Index> index = NoteParts.parseIndex(text);
        if (index.isEmpty()) {
            return Optional.empty();
        }
        return index.get().digests().keySet().stream()
                .filter(part -> !values.containsKey(part))
                .findFirst();
    }

    private String joinedText(String name) throws NoteRejectedException {
        String text = values.get(name);
        Optional<NoteParts.Index> index = NoteParts.parseIndex(text);
        return index.isPresent() ? NoteParts.join(index.get(), values) : text;
    }

    private ReleaseNote readChain(Deque<String> texts) throws NoteRejectedException {
        ReleaseNote note = null;
        for (String text : texts) {
            ReleaseNote base = note;
            note = NoteReader.read(
                    text,
                    number -> base != null && base.number() == number ? Optional.of(base) : ledger.findNote(number));
        }
        return note;
    }
}
