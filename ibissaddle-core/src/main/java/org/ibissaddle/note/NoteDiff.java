package org.ibissaddle.note;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.ibissaddle.internal.note.CanonicalText;
import org.ibissaddle.internal.note.Section;

/**
 * Says in words what one note changes against another, and which running work that touches.
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
     * @param after the note that would replace it
     * @return the changes in the order of the canonical text, withdrawals last
     */
    public static List<NoteChange> between(ReleaseNote before, ReleaseNote after) {
        Map<String, Section> old = CanonicalText.sections(before);
        Map<String, Section> next = CanonicalText.sections(after);
        List<NoteChange> changes = new ArrayList<>();
        for (Section section : next.values()) {
            Section previous = old.remove(section.title());
            if (section.title().equals("note")) {
                continue;
            }
            if (previous == null) {
                changes.add(added(section));
            } else if (!previous.values().equals(section.values())) {
                changes.add(changed(previous, section));
            }
        }
        old.values().forEach(section -> changes.add(withdrawn(section)));
        return changes;
    }

    private static NoteChange added(Section section) {
        String effect = switch (section.kind()) {
            case "pool" -> "its models are loaded before traffic is sent there";
            case "adapter" -> "it is loaded before traffic is sent there";
            case "workspace" -> "its requests are accepted from now on";
            case "route" -> "calls that it covers are routed from now on";
            default -> "no running work is touched";
        };
        return new NoteChange(NoteChange.Kind.ADDED, section.title(), List.of(), effect);
    }

    private static NoteChange withdrawn(Section section) {
        String effect = switch (section.kind()) {
            case "pool" -> "requests in flight finish; new ones for its models or routes are refused";
            case "adapter" -> "requests in flight finish; new ones that name it are refused";
            case "workspace" -> "requests in flight finish; new ones of the workspace are refused";
            case "route" -> "calls in flight finish; new ones go to a later route or are refused";
            case "region", "zone" -> "its instances finish what they have and are asked for nothing new";
            case "link" -> "no new work is sent across it";
            default -> "no running work is touched";
        };
        return new NoteChange(NoteChange.Kind.WITHDRAWN, section.title(), List.of(), effect);
    }

    private static NoteChange changed(Section before, Section after) {
        Map<String, String> old = new LinkedHashMap<>(before.values());
        List<String> details = new ArrayList<>();
        after.values().forEach((key, value) -> {
            String previous = old.remove(key);
            if (!value.equals(previous)) {
                details.add(key + " from " + (previous == null ? "none" : previous) + " to " + value);
            }
        });
        old.forEach((key, previous) -> details.add(key + " from " + previous + " to none"));
        return new NoteChange(NoteChange.Kind.CHANGED, after.title(), details, effectOfChange(after.kind(), details));
    }

    private static String effectOfChange(String kind, List<String> details) {
        boolean binding = details.stream().anyMatch(detail -> detail.startsWith("home "));
        return switch (kind) {
            case "workspace" ->
                binding
                        ? "requests in flight finish where they run; new ones follow the new binding"
                        : "new limits and weights hold for the next request";
            case "pool" ->
                "requests in flight finish; withdrawn models get no new work, added ones are loaded before they get any";
            case "route" -> "calls in flight finish; new ones follow the changed rule";
            case "adapter" -> "requests in flight finish; the adapter is loaded anew before it gets work";
            case "zone" -> "its instances finish what they have; new work follows the new region";
            default -> "holds for the next decision; no running work is touched";
        };
    }
}
