package org.ibissaddle.internal.note;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.ibissaddle.note.NoteWriter;
import org.ibissaddle.note.ReleaseNote;

/**
 * Keeps the deltas between recent notes, so that a peer with a recent note can be sent deltas instead of the full text.
 */
public final class NoteHistory {
    private static final int MAX_TRANSITIONS = 32;
    private static final int MAX_DELTA_LENGTH = 65_536;

    private final Map<String, Transition> transitionsByOldDigest = new LinkedHashMap<>();

    /**
     * Records that one note replaced another.
     *
     * @param before the note that was in force
     * @param after the note that is in force now
     */
    public void add(ReleaseNote before, ReleaseNote after) {
        String deltaText = NoteWriter.delta(before, after);
        if (deltaText.length() > MAX_DELTA_LENGTH) {
            transitionsByOldDigest.clear();
            return;
        }
        transitionsByOldDigest.put(before.digest(), new Transition(deltaText, after.digest()));
        if (transitionsByOldDigest.size() > MAX_TRANSITIONS) {
            transitionsByOldDigest.remove(
                    transitionsByOldDigest.keySet().iterator().next());
        }
    }

    /**
     * Returns the deltas from an earlier note to the one in force.
     *
     * @param number number of the earlier note
     * @param digest digest of the earlier note
     * @param inForce the note in force
     * @return delta texts in the order to apply them, or empty if any of them is not available
     */
    public Optional<List<String>> deltasSince(long number, String digest, ReleaseNote inForce) {
        List<String> deltaTexts = new ArrayList<>();
        String currentDigest = digest;
        while (!currentDigest.equals(inForce.digest())) {
            Transition transition = transitionsByOldDigest.get(currentDigest);
            if (transition == null || number >= inForce.number() || deltaTexts.size() > MAX_TRANSITIONS) {
                return Optional.empty();
            }
            deltaTexts.add(transition.deltaText());
            currentDigest = transition.newDigest();
        }
        return Optional.of(deltaTexts);
    }

    private record Transition(String deltaText, String newDigest) {}
}
