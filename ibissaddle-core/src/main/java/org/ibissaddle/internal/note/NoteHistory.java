package org.ibissaddle.internal.note;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.ibissaddle.note.NoteWriter;
import org.ibissaddle.note.ReleaseNote;

/** Changes between the last notes that were in force, so that a peer that is a little behind gets little text. */
public final class NoteHistory {
    private static final int MAX_STEPS = 32;
    private static final int MAX_STEP_LENGTH = 65_536;

    private final Map<String, Step> steps = new LinkedHashMap<>();

    /**
     * Records that one note replaced another.
     *
     * @param before the note that was in force
     * @param after the note that is in force now
     */
    public void add(ReleaseNote before, ReleaseNote after) {
        String text = NoteWriter.delta(before, after);
        if (text.length() > MAX_STEP_LENGTH) {
            steps.clear();
            return;
        }
        steps.put(before.digest(), new Step(text, after.digest()));
        if (steps.size() > MAX_STEPS) {
            steps.remove(steps.keySet().iterator().next());
        }
    }

    /**
     * Lists the changes between a note and the one in force.
     *
     * @param number number of the earlier note
     * @param digest digest of the earlier note
     * @param inForce the note in force
     * @return changes in order, empty when some are not known
     */
    public Optional<List<String>> chain(long number, String digest, ReleaseNote inForce) {
        List<String> texts = new ArrayList<>();
        String at = digest;
        while (!at.equals(inForce.digest())) {
            Step step = steps.get(at);
            if (step == null || number >= inForce.number() || texts.size() > MAX_STEPS) {
                return Optional.empty();
            }
            texts.add(step.text());
            at = step.digest();
        }
        return Optional.of(texts);
    }

    private record Step(String text, String digest) {}
}
