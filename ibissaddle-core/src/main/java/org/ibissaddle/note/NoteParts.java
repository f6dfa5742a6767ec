package org.ibissaddle.note;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.ibissaddle.internal.note.IniParser;
import org.ibissaddle.internal.note.Section;

/**
 * Splits the text of a large note into parts that fit the platform's size limit, and joins them again.
 *
 * <p>The value {@code note} then contains an index: the number of the note, and the name and digest of each part.
 * Readers join the parts only if every digest matches, so that a partially published note is never read.
 *
 * <pre>{@code
 * Map<String, String> values = NoteParts.split(8, text);       // "note" and "note.1", "note.2", ...
 * Optional<NoteParts.Index> index = NoteParts.index(values.get("note"));
 * String whole = NoteParts.join(index.get(), values);
 * }</pre>
 */
public final class NoteParts {
    /** Name of the value that contains the note or its index. */
    public static final String VALUE_NAME = "note";

    /** Maximum size of a part in bytes of UTF-8. */
    public static final int MAX_PART_BYTES = 1_000_000;

    private NoteParts() {}

    /**
     * The index of a note that is split into parts.
     *
     * @param number number of the note
     * @param digests digest of each part by name, in the order of the parts
     */
    public record Index(long number, Map<String, String> digests) {
        /** Makes a defensive copy of the digests in the same order. */
        public Index {
            digests = Collections.unmodifiableMap(new LinkedHashMap<>(digests));
        }
    }

    /**
     * Splits a text for publishing. Publish the parts first and the value {@code note} last.
     *
     * @param number number of the note
     * @param text text of the note
     * @return values by name, parts first; only {@code note} if the text fits into one value
     */
    public static Map<String, String> split(long number, String text) {
        return split(VALUE_NAME, number, text);
    }

    /**
     * Returns the name of the value under which a note remains published as a base for later notes.
     *
     * @param number number of the note
     * @return name of the value
     */
    public static String baseValueName(long number) {
        return VALUE_NAME + "-" + number;
    }

    /**
     * Splits a text for publishing under another name than {@code note}, for example {@link #baseValueName}.
     *
     * @param base name of the value that contains the text or its index
     * @param number number of the note
     * @param text text of the note
     * @return values by name, parts first
     */
    public static Map<String, String> split(String base, long number, String text) {
        Map<String, String> values = new LinkedHashMap<>();
        if (text.getBytes(StandardCharsets.UTF_8).length <= MAX_PART_BYTES) {
            values.put(base, text);
            return values;
        }
        StringBuilder index = new StringBuilder("[index]\nnumber = " + number + "\n");
        for (String part : splitAtLines(text)) {
            String name = base + "." + (values.size() + 1);
            values.put(name, part);
            index.append("[part ").append(name).append("]\nsha256 = ");
            index.append(Digests.sha256(part)).append('\n');
        }
        values.put(base, index.toString());
        return values;
    }

    /**
     * Reads an index.
     *
     * @param text the value {@code note}
     * @return the index, or empty if the value is the note itself
     * @throws NoteRejectedException if the index is malformed
     */
    public static Optional<Index> parseIndex(String text) throws NoteRejectedException {
        if (!text.stripLeading().startsWith("[index]")) {
            return Optional.empty();
        }
        List<NoteFault> faults = new ArrayList<>();
        Map<String, String> digests = new LinkedHashMap<>();
        long number = 0;
        for (Section section : IniParser.parse(text, faults).values()) {
            switch (section.kind()) {
                case "index" -> number = parseNumber(section, faults);
                case "part" -> digests.put(section.name(), section.values().getOrDefault("sha256", ""));
                default -> faults.add(new NoteFault.UnknownSection(section.title()));
            }
        }
        if (digests.isEmpty()) {
            faults.add(new NoteFault.MissingSection("part"));
        }
        if (!faults.isEmpty()) {
            throw new NoteRejectedException(faults);
        }
        return Optional.of(new Index(number, digests));
    }

    /**
     * Joins the parts of a note.
     *
     * @param index the index
     * @param parts parts by name; names that are not in the index are ignored
     * @return text of the note
     * @throws NoteRejectedException if a part is missing or does not match its digest in the index
     */
    public static String join(Index index, Map<String, String> parts) throws NoteRejectedException {
        StringBuilder text = new StringBuilder();
        List<NoteFault> faults = new ArrayList<>();
        index.digests().forEach((name, digest) -> {
            String part = parts.get(name);
            if (part == null) {
                faults.add(new NoteFault.PartMismatch(name, "is missing"));
            } else if (!Digests.sha256(part).equals(digest)) {
                faults.add(new NoteFault.PartMismatch(name, "does not match its digest in the index"));
            } else {
                text.append(part);
            }
        });
        if (!faults.isEmpty()) {
            throw new NoteRejectedException(faults);
        }
        return text.toString();
    }

    private static long parseNumber(Section section, List<NoteFault> faults) {
        String text = section.values().getOrDefault("number", "");
        try {
            return Long.parseLong(text);
        } catch (NumberFormatException e) {
            faults.add(new NoteFault.InvalidValue(section.title(), "number", text, "a whole number"));
            return 0;
        }
    }

    private static List<String> splitAtLines(String text) {
        List<String> parts = new ArrayList<>();
        StringBuilder part = new StringBuilder();
        int bytes = 0;
        for (String line : text.split("(?<=\n)", -1)) {
            int length = line.getBytes(StandardCharsets.UTF_8).length;
            if (bytes + length > MAX_PART_BYTES && bytes > 0) {
                parts.add(part.toString());
                part.setLength(0);
                bytes = 0;
            }
            part.append(line);
            bytes += length;
        }
        parts.add(part.toString());
        return parts;
    }
}
