package org.ibissaddle.quarantine;

import java.util.List;
import java.util.Set;
import org.ibissaddle.id.Region;

/**
 * What an instance tells another one about content that was in flight at crashes of servers. Ages take the place of
 * times, since clocks differ.
 *
 * @param marks keys of content that were in flight at a crash
 * @param proofs marked keys of which the sender has seen a complete response since
 */
public record CrashUpdate(List<Mark> marks, List<Proof> proofs) {
    /** The empty update. */
    public static final CrashUpdate NONE = new CrashUpdate(List.of(), List.of());

    /** Copies the lists. */
    public CrashUpdate {
        marks = List.copyOf(marks);
        proofs = List.copyOf(proofs);
    }

    /**
     * Records that a key was in flight at a crash.
     *
     * @param key the key
     * @param crash the crash
     * @param homes regions that the content is bound to, empty if unbound
     * @param ageMs time since the crash, milliseconds
     */
    public record Mark(String key, Crash crash, Set<Region> homes, long ageMs) {
        /** Copies the regions. */
        public Mark {
            homes = Set.copyOf(homes);
        }
    }

    /**
     * Records that a response to a request with a key was complete.
     *
     * @param key the key
     * @param homes regions that the content is bound to, empty if unbound
     * @param ageMs time since the end of the response, milliseconds
     */
    public record Proof(String key, Set<Region> homes, long ageMs) {
        /** Copies the regions. */
        public Proof {
            homes = Set.copyOf(homes);
        }
    }
}
