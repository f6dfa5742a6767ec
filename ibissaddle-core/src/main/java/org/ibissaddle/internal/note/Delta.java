package org.ibissaddle.internal.note;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongFunction;
import org.ibissaddle.note.NoteFault;
import org.ibissaddle.note.ReleaseNote;

/** Applies additions, changes and withdrawals to the sections of a base note. */
public final class Delta {
    static final String ADD = "add";
    static final String CHANGE = "change";
    static final String WITHDRAW = "withdraw";

    private Delta() {}

    /**
     * Finds the base that a note names.
     *
     * @param sections sections of the note
     * @return number of the base; empty when there is none or it is no number
     */
    public static Optional<Long> base(Map<String, Section> sections) {
        Section note = sections.get("note");
        String base = note == null ? "" : note.values().getOrDefault("base", "");
        if (base.isEmpty()) {
            return Optional.empty();
        }
        try {
            return Optional.of(Long.parseLong(base));
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }

    /**
     * Makes a note whole.
     *
     * @param sections sections of the note as written
     * @param bases finds the base by its number
     * @param faults takes the faults found
     * @return sections of the whole state
     */
    public static Map<String, Section> expand(
            Map<String, Section> sections, LongFunction<Optional<ReleaseNote>> bases, List<NoteFault> faults) {
        boolean delta = sections.containsKey("note")
                && !sections.get("note").values().getOrDefault("base", "").isEmpty();
        for (Section section : sections.values()) {
            if (!section.title().equals("note") && delta != isVerb(section.kind())) {
                faults.add(new NoteFault.MixedForms(section.title()));
            }
        }
        if (!delta) {
            return sections;
        }
        Optional<Long> number = base(sections);
        if (number.isEmpty()) {
            faults.add(new NoteFault.InvalidValue(
                    "note", "base", sections.get("note").values().get("base"), "the number of a note"));
            return sections;
        }
        Optional<ReleaseNote> base = bases.apply(number.get());
        if (base.isEmpty()) {
            faults.add(new NoteFault.MissingBase(number.get()));
            return sections;
        }
        return apply(CanonicalText.sections(base.get()), sections, faults);
    }

    /**
     * Writes what leads from one note to another.
     *
     * @param base the note to start from
     * @param note the note to arrive at
     * @return text of a note against the base
     */
    public static String between(ReleaseNote base, ReleaseNote note) {
        Map<String, Section> old = CanonicalText.sections(base);
        Map<String, Section> next = CanonicalText.sections(note);
        StringBuilder text = new StringBuilder();
        write(text, "note", Map.of("number", String.valueOf(note.number())));
        text.append("base = ").append(base.number()).append('\n');
        boolean routes = !base.routes().equals(note.routes());
        for (Section section : old.values()) {
            if (!next.containsKey(section.title()) || (routes && section.kind().equals("route"))) {
                write(text, WITHDRAW + " " + section.title(), Map.of());
            }
        }
        for (Section section : next.values()) {
            Section previous = old.get(section.title());
            if (section.title().equals("note")) {
                continue;
            }
            if (previous == null || (routes && section.kind().equals("route"))) {
                write(text, ADD + " " + section.title(), section.values());
            } else if (!previous.equals(section)) {
                write(text, CHANGE + " " + section.title(), change(previous, section));
            }
        }
        return text.toString();
    }

    private static Map<String, String> change(Section before, Section after) {
        Map<String, String> values = new LinkedHashMap<>();
        before.values().keySet().forEach(key -> values.put(key, ""));
        values.putAll(after.values());
        values.entrySet()
                .removeIf(entry -> entry.getValue().equals(before.values().get(entry.getKey())));
        return values;
    }

    static void write(StringBuilder text, String title, Map<String, String> values) {
        text.append('[').append(title).append("]\n");
        values.forEach(
                (key, value) -> text.append(key).append(" = ").append(value).append('\n'));
    }

    private static Map<String, Section> apply(
            Map<String, Section> base, Map<String, Section> delta, List<NoteFault> faults) {
        Map<String, Section> whole = new LinkedHashMap<>(base);
        for (Section section : delta.values()) {
            String title = section.name();
            switch (section.kind()) {
                case "note" -> whole.put("note", section);
                case ADD -> {
                    if (whole.putIfAbsent(title, new Section(title, section.values())) != null) {
                        faults.add(new NoteFault.AlreadyDeclared(title));
                    }
                }
                case CHANGE -> {
                    if (whole.computeIfPresent(title, (t, old) -> changed(old, section)) == null) {
                        faults.add(new NoteFault.NotDeclared(title));
                    }
                }
                case WITHDRAW -> {
                    if (whole.remove(title) == null) {
                        faults.add(new NoteFault.NotDeclared(title));
                    }
                }
                default -> {}
            }
        }
        return whole;
    }

    private static Section changed(Section old, Section change) {
        Map<String, String> values = new LinkedHashMap<>(old.values());
        values.putAll(change.values());
        return new Section(old.title(), values);
    }

    private static boolean isVerb(String kind) {
        return kind.equals(ADD) || kind.equals(CHANGE) || kind.equals(WITHDRAW);
    }
}
