package org.ibissaddle.note;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.ibissaddle.internal.note.IniText;
import org.ibissaddle.internal.note.Section;

/**
 * Splits the text of a large note into parts that the platform can hold, and joins them again.
 *
 * <p>The value {@code note} then holds an index: the number, and for each part its name and digest. Readers join the
 * parts only when every digest fits, so that a half-published note is never read.
 *
 * <pre>{@code
 * Map<String, String> values = NoteParts.split(8, text);       // "note" and "note.1", "note.2", ...
 * Optional<NoteParts.Index> index = NoteParts.index(values.get("note"));
 * String whole = NoteParts.join(index.get(), values);
 * }</pre>
 */
public final class NoteParts {
    /** Name of the value that holds the note or its index. */
    public static final String NAME = "note";

    /** Longest part, bytes of UTF-8. */
    public static final int MAX_PART_BYTES = 1_000_000;

    private NoteParts() {}

    /**
     * The index of a note in parts.
     *
     * @param number number of the note
     * @param digests digest of each part by its name, in order
     */
    public record Index(long number, Map<String, String> digests) {
        /** Copies the digests, keeping their order. */
        public Index {
            digests = Collections.unmodifiableMap(new LinkedHashMap<>(digests));
        }
    }

    /**
     * Splits a text for publishing. Publish the parts first and {@code note} last.
     *
     * @param number number of the note
     * @param text text of the note
     * @return values by name, parts first; only {@code note} when the text fits in one value
     */
    public static Map<String, String> split(long number, String text) {
        return split(NAME, number, text);
    }

    /**
     * Names the value under which a note stays published as a base of later ones.
     *
     * @param number number of the note
     * @return name of the value
     */
    public static String baseName(long number) {
        return NAME + "-" + number;
    }

    /**
     * Splits a text for publishing under a name of its own, for example {@link #baseName}.
     *
     * @param base name of the value that holds the text or its index
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
        for (String part : pieces(text)) {
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
     * @return the index; empty when the value is the note itself
     * @throws NoteRejectedException when the index is not well-formed
     */
    public static Optional<Index> index(String text) throws NoteRejectedException {
        if (!text.stripLeading().startsWith("[index]")) {
            return Optional.empty();
        }
        List<NoteFault> faults = new ArrayList<>();
        Map<String, String> digests = new LinkedHashMap<>();
        long number = 0;
        for (Section section : IniText.parse(text, faults).values()) {
            switch (section.kind()) {
                case "index" -> number = number(section, faults);
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
     * @param parts parts by name; others are not looked at
     * @return text of the note
     * @throws NoteRejectedException when a part is absent or not the one that the index names
     */
    public static String join(Index index, Map<String, String> parts) throws NoteRejectedException {
        StringBuilder text = new StringBuilder();
        List<NoteFault> faults = new ArrayList<>();
        index.digests().forEach((name, digest) -> {
            String part = parts.get(name);
            if (part == null) {
                faults.add(new NoteFault.PartMismatch(name, "is absent"));
            } else if (!Digests.sha256(part).equals(digest)) {
                faults.add(new NoteFault.PartMismatch(name, "does not have the digest that the index names"));
            } else {
                text.append(part);
            }
        });
        if (!faults.isEmpty()) {
            throw new NoteRejectedException(faults);
        }
        return text.toString();
    }

    private static long number(Section section, List<NoteFault> faults) {
        String text = section.values().getOrDefault("number", "");
        try {
            return Long.parseLong(text);
        } catch (NumberFormatException e) {
            faults.add(new NoteFault.InvalidValue(section.title(), "number", text, "a whole number"));
            return 0;
        }
    }

    private static List<String> pieces(String text) {
        List<String> pieces = new ArrayList<>();
        StringBuilder piece = new StringBuilder();
        int bytes = 0;
        for (String line : text.split("(?<=\n)", -1)) {
            int length = line.getBytes(StandardCharsets.UTF_8).length;
            if (bytes + length > MAX_PART_BYTES && bytes > 0) {
                pieces.add(piece.toString());
                piece.setLength(0);
                bytes = 0;
            }
            piece.append(line);
            bytes += length;
        }
        pieces.add(piece.toString());
        return pieces;
    }
}
