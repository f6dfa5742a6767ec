package org.ibissaddle.internal.note;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongFunction;
import org.ibissaddle.note.NoteFault;
import org.ibissaddle.note.ReleaseNote;

/** Computes the difference between two notes, and applies one to the sections of a base note. */
public final class Delta {
    static final String ADD = "add";
    static final String CHANGE = "change";
    static final String WITHDRAW = "withdraw";

    private Delta() {}

    /**
     * Returns the number of the base note that a note refers to.
     *
     * @param sections sections of the note
     * @return number of the base note, or empty if there is none or it is not a number
     */
    public static Optional<Long> parseBaseNumber(Map<String, Section> sections) {
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
     * Expands a note to the complete state.
     *
     * @param sections sections of the note as written
     * @param bases finds a base note by its number
     * @param faults list that validation errors are added to
     * @return sections of the complete state
     */
    public static Map<String, Section> expand(
            Map<String, Section> sections, LongFunction<Optional<ReleaseNote>> bases, List<NoteFault> faults) {
        boolean hasBase = sections.containsKey("note")
                && !sections.get("note").values().getOrDefault("base", "").isEmpty();
        for (Section section : sections.values()) {
            if (!section.title().equals("note") && hasBase != isOperation(section.kind())) {
                faults.add(new NoteFault.MixedForms(section.title()));
            }
        }
        if (!hasBase) {
            return sections;
        }
        Optional<Long> number = parseBaseNumber(sections);
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
        return applyOperations(CanonicalText.sections(base.get()), sections, faults);
    }

    /**
     * Writes the difference between two notes.
     *
     * @param base the base note
     * @param note the resulting note
     * @return text of a note that refers to the base note
     */
    public static String between(ReleaseNote base, ReleaseNote note) {
        Map<String, Section> previousSections = CanonicalText.sections(base);
        Map<String, Section> currentSections = CanonicalText.sections(note);
        StringBuilder text = new StringBuilder();
        writeSection(text, "note", Map.of("number", String.valueOf(note.number())));
        text.append("base = ").append(base.number()).append('\n');
        boolean routesChanged = !base.routes().equals(note.routes());
        for (Section section : previousSections.values()) {
            if (!currentSections.containsKey(section.title())
                    || (routesChanged && section.kind().equals("route"))) {
                writeSection(text, WITHDRAW + " " + section.title(), Map.of());
            }
        }
        for (Section section : currentSections.values()) {
            Section previous = previousSections.get(section.title());
            if (section.title().equals("note")) {
                continue;
            }
            if (previous == null || (routesChanged && section.kind().equals("route"))) {
                writeSection(text, ADD + " " + section.title(), section.values());
            } else if (!previous.equals(section)) {
                writeSection(text, CHANGE + " " + section.title(), changedValues(previous, section));
            }
        }
        return text.toString();
    }

    private static Map<String, String> changedValues(Section before, Section after) {
        Map<String, String> values = new LinkedHashMap<>();
        before.values().keySet().forEach(key -> values.put(key, ""));
        values.putAll(after.values());
        values.entrySet()
                .removeIf(entry -> entry.getValue().equals(before.values().get(entry.getKey())));
        return values;
    }

    static void writeSection(StringBuilder text, String title, Map<String, String> values) {
        text.append('[').append(title).append("]\n");
        values.forEach(
                (key, value) -> text.append(key).append(" = ").append(value).append('\n'));
    }

    private static Map<String, Section> applyOperations(
            Map<String, Section> base, Map<String, Section> delta, List<NoteFault> faults) {
        Map<String, Section> result = new LinkedHashMap<>(base);
        for (Section section : delta.values()) {
            String title = section.name();
            switch (section.kind()) {
                case "note" -> result.put("note", section);
                case ADD -> {
                    if (result.putIfAbsent(title, new Section(title, section.values())) != null) {
                        faults.add(new NoteFault.AlreadyDeclared(title));
                    }
                }
                case CHANGE -> {
                    if (result.computeIfPresent(title, (t, old) -> applyChange(old, section)) == null) {
                        faults.add(new NoteFault.NotDeclared(title));
                    }
                }
                case WITHDRAW -> {
                    if (result.remove(title) == null) {
                        faults.add(new NoteFault.NotDeclared(title));
                    }
                }
                default -> {}
            }
        }
        return result;
    }

    private static Section applyChange(Section old, Section change) {
        Map<String, String> values = new LinkedHashMap<>(old.values());
        values.putAll(change.values());
        return new Section(old.title(), values);
    }

    private static boolean isOperation(String kind) {
        return kind.equals(ADD) || kind.equals(CHANGE) || kind.equals(WITHDRAW);
    }
}
