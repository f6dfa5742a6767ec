package org.ibissaddle.fleet;

/** Health of an instance or backend server, as seen by one instance. */
public enum Health {
    /** Responds, or no failure has been observed. */
    LIVE,
    /** Recent failures suggest that it is unreachable; used only if no live candidate is left. */
    SUSPECT,
    /** Draining: completes its current work and receives no new work. */
    LEAVING,
    /** Considered unreachable. */
    DOWN;

    /**
     * Returns whether new work may be assigned.
     *
     * @return whether new work may be assigned in this state
     */
    public boolean acceptsNewWork() {
        return this == LIVE || this == SUSPECT;
    }
}
