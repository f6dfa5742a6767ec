package org.ibissaddle.quarantine;

import java.util.List;
import java.util.Set;
import org.ibissaddle.id.Region;

/**
 * What an instance tells another one about prompt parts. Ages take the place of times, since clocks differ.
 *
 * @param marks parts that were in flight at a crash
 * @param proofs marked parts of which the sender has seen a complete response since
 */
public record PromptPartUpdate(List<Mark> marks, List<Proof> proofs) {
    /** The empty update. */
    public static final PromptPartUpdate NONE = new PromptPartUpdate(List.of(), List.of());

    /** Copies the lists. */
    public PromptPartUpdate {
        marks = List.copyOf(marks);
        proofs = List.copyOf(proofs);
    }

    /**
     * Records that a part was in flight at a crash.
     *
     * @param part id of the part
     * @param crash the crash
     * @param homes regions that the content is bound to, empty if unbound
     * @param ageMs time since the crash, milliseconds
     */
    public record Mark(String part, Crash crash, Set<Region> homes, long ageMs) {
        /** Copies the regions. */
        public Mark {
            homes = Set.copyOf(homes);
        }
    }

    /**
     * Records that a response to a prompt with a part was complete.
     *
     * @param part id of the part
     * @param homes regions that the content is bound to, empty if unbound
     * @param ageMs time since the end of the response, milliseconds
     */
    public record Proof(String part, Set<Region> homes, long ageMs) {
        /** Copies the regions. */
        public Proof {
            homes = Set.copyOf(homes);
        }
    }
}
