package org.ibissaddle.fleet;

/** What is believed of an instance or backend server. */
public enum Health {
    /** Answers, or nothing speaks against it. */
    LIVE,
    /** First-hand observation speaks against it; used only when nothing better is left. */
    SUSPECT,
    /** Is leaving: finishes what it has, gets nothing new. */
    LEAVING,
    /** Is gone. */
    DOWN;

    /**
     * Tells whether new work may be given.
     *
     * @return whether this health allows new work
     */
    public boolean takesNewWork() {
        return this == LIVE || this == SUSPECT;
    }
}
