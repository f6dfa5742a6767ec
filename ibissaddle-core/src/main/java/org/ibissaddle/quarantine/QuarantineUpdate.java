package org.ibissaddle.quarantine;

import java.util.List;

/**
 * An update on crashes that the instances of a region exchange. Updates may arrive late, more than once and in any
 * order.
 *
 * @param marks valid marks
 * @param clearances marked requests that have since completed
 */
public record QuarantineUpdate(List<CrashMark> marks, List<Clearance> clearances) {
    /** The empty update. */
    public static final QuarantineUpdate NONE = new QuarantineUpdate(List.of(), List.of());

    /** Copies the lists. */
    public QuarantineUpdate {
        marks = List.copyOf(marks);
        clearances = List.copyOf(clearances);
    }
}
