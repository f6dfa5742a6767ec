package org.ibissaddle.quarantine;

import java.util.List;

/**
 * What instances of a region tell each other of crashes; any number of them may arrive late, twice or in any order.
 *
 * @param marks marks that count
 * @param clearances requests that have completed since they were marked
 */
public record Suspicions(List<Mark> marks, List<Clearance> clearances) {
    /** Nothing to tell. */
    public static final Suspicions NONE = new Suspicions(List.of(), List.of());

    /** Copies the lists. */
    public Suspicions {
        marks = List.copyOf(marks);
        clearances = List.copyOf(clearances);
    }
}
