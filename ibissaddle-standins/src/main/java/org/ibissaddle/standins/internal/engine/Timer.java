package org.ibissaddle.standins.internal.engine;

/** Runs actions on the engine's event loop at a later time. */
public interface Timer {
    /** Runs an action at a time in epoch milliseconds, or at once where that has passed. */
    void runAt(long atMs, Runnable action);
}
