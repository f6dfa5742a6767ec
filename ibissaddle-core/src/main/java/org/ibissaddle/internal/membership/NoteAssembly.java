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

/** Collects the values that make up a note on the platform: its parts, and the bases that are not at hand. */
final class NoteAssembly {
    private static final int MAX_BASES = 16;

    private final NoteLedger ledger;
    private final Map<String, String> values = new HashMap<>();

    NoteAssembly(NoteLedger ledger) {
        this.ledger = ledger;
    }

    /** What to do next. */
    sealed interface Step {
        /** Read a value. */
        record Need(String name) implements Step {}

        /** The note is whole. */
        record Whole(ReleaseNote note) implements Step {}

        /** The platform shows a note that is not newer; nothing needs to be read. */
        record NotNewer(long number) implements Step {}
    }

    void start(String text) {
        values.clear();
        values.put(NoteParts.NAME, text);
    }

    void add(String name, String text) {
        values.put(name, text);
    }

    boolean awaits(String name) {
        return !name.equals(NoteParts.NAME) && !values.isEmpty();
    }

    Step next() throws NoteRejectedException {
        Optional<NoteParts.Index> index = NoteParts.index(values.get(NoteParts.NAME));
        if (index.isPresent() && index.get().number() < ledger.number()) {
            return new Step.NotNewer(index.get().number());
        }
        Deque<String> texts = new ArrayDeque<>();
        String name = NoteParts.NAME;
        while (texts.size() < MAX_BASES) {
            Optional<String> missing = missing(name);
            if (missing.isPresent()) {
                return new Step.Need(missing.get());
            }
            String text = text(name);
            texts.push(text);
            long number = NoteReader.numberOf(text).orElse(0L);
            if (texts.size() == 1 && number > 0 && number < ledger.number()) {
                return new Step.NotNewer(number);
            }
            Optional<Long> base = NoteReader.baseOf(text);
            if (base.isEmpty() || ledger.note(base.get()).isPresent()) {
                break;
            }
            if (texts.size() == 1 && number == ledger.number()) {
                return new Step.NotNewer(number);
            }
            name = NoteParts.baseName(base.get());
        }
        return new Step.Whole(read(texts));
    }

    private Optional<String> missing(String name) throws NoteRejectedException {
        String text = values.get(name);
        if (text == null) {
            return Optional.of(name);
        }
        Optional<NoteParts.Index> index = NoteParts.index(text);
        if (index.isEmpty()) {
            return Optional.empty();
        }
        return index.get().digests().keySet().stream()
                .filter(part -> !values.containsKey(part))
                .findFirst();
    }

    private String text(String name) throws NoteRejectedException {
        String text = values.get(name);
        Optional<NoteParts.Index> index = NoteParts.index(text);
        return index.isPresent() ? NoteParts.join(index.get(), values) : text;
    }

    private ReleaseNote read(Deque<String> texts) throws NoteRejectedException {
        ReleaseNote note = null;
        for (String text : texts) {
            ReleaseNote base = note;
            note = NoteReader.read(
                    text, number -> base != null && base.number() == number ? Optional.of(base) : ledger.note(number));
        }
        return note;
    }
}
