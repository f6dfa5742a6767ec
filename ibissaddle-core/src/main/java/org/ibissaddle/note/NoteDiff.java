package org.ibissaddle.note;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.ibissaddle.internal.note.CanonicalText;
import org.ibissaddle.internal.note.Section;

/**
 * Describes the differences between two release notes and their effect on running requests.
 *
 * <pre>{@code
 * NoteDiff.between(inForce, next).forEach(change -> System.out.println(change.message()));
 * }</pre>
 */
public final class NoteDiff {
    private NoteDiff() {}

    /**
     * Compares two notes.
     *
     * @param before the note in force
     * @param after the note to compare it with
     * @return the changes in the order of the canonical text, with withdrawn sections last
     */
    public static List<NoteChange> between(ReleaseNote before, ReleaseNote after) {
        Map<String, Section> previousSections = CanonicalText.sections(before);
        Map<String, Section> currentSections = CanonicalText.sections(after);
        List<NoteChange> changes = new ArrayList<>();
        for (Section section : currentSections.values()) {
            Section previous = previousSections.remove(section.title());
            if (section.title().equals("note")) {
                continue;
            }
            if (previous == null) {
                changes.add(added(section));
            } else if (!previous.values().equals(section.values())) {
                changes.add(changed(previous, section));
            }
        }
        previousSections.values().forEach(section -> changes.add(withdrawn(section)));
        return changes;
    }

    private static NoteChange added(Section section) {
        String effect = switch (section.kind()) {
            case "pool" -> "its models are loaded before it receives traffic";
            case "adapter" -> "the adapter is loaded before it receives traffic";
            case "workspace" -> "its requests are accepted as soon as the note is in force";
            case "route" -> "matching calls are routed as soon as the note is in force";
            default -> "running requests are not affected";
        };
        return new NoteChange(NoteChange.Kind.ADDED, section.title(), List.of(), effect);
    }

    private static NoteChange withdrawn(Section section) {
        String effect = switch (section.kind()) {
            case "pool" -> "requests in flight complete; new requests for its models or routes are refused";
            case "adapter" -> "requests in flight complete; new requests for the adapter are refused";
            case "workspace" -> "requests in flight complete; new requests of the workspace are refused";
            case "route" -> "calls in flight complete; new calls match a later route or are refused";
            case "region", "zone" -> "its instances complete their requests in flight and receive no new ones";
            case "link" -> "no new requests are sent over it";
            default -> "running requests are not affected";
        };
        return new NoteChange(NoteChange.Kind.WITHDRAWN, section.title(), List.of(), effect);
    }

    private static NoteChange changed(Section before, Section after) {
        Map<String, String> previousValues = new LinkedHashMap<>(before.values());
        List<String> details = new ArrayList<>();
        after.values().forEach((key, value) -> {
            String previous = previousValues.remove(key);
            if (!value.equals(previous)) {
                details.add(key + " from " + (previous == null ? "none" : previous) + " to " + value);
            }
        });
        previousValues.forEach((key, previous) -> details.add(key + " from " + previous + " to none"));
        return new NoteChange(NoteChange.Kind.CHANGED, after.title(), details, effectOfChange(after.kind(), details));
    }

    private static String effectOfChange(String kind, List<String> details) {
        boolean homeChanged = details.stream().anyMatch(detail -> detail.startsWith("home "));
        return switch (kind) {
            case "workspace" ->
                homeChanged
                        ? "requests in flight complete where they run; new requests follow the changed home region"
                        : "new limits and weights apply from the next request";
            case "pool" ->
                "requests in flight complete; withdrawn models receive no new requests, added models are loaded before they receive any";
            case "route" -> "calls in flight complete; new calls follow the changed rule";
            case "adapter" -> "requests in flight complete; the adapter is reloaded before it receives requests";
            case "zone" -> "its instances complete their requests in flight; new requests use the new region";
            default -> "applies from the next routing decision; running requests are not affected";
        };
    }
}
