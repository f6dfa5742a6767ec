package org.ibissaddle.standins.internal.engine;

/** Schedules actions on the event loop of the engine. */
public interface DelayedExecutor {
    /** Runs an action at a time in epoch milliseconds, or immediately if that time has passed. */
    void runAt(long atMs, Runnable action);
}
