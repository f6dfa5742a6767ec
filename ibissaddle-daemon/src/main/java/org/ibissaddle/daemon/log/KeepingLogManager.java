package org.ibissaddle.daemon.log;

import java.util.logging.LogManager;

/**
 * A log manager whose handlers stay when the process is told to end. The usual one takes them away while a drain still
 * runs, and the lines of the drain are lost. Selected by the system property {@code java.util.logging.manager}, before
 * the first use of a logger.
 */
public final class KeepingLogManager extends LogManager {
    /** System property that selects the log manager. */
    public static final String PROPERTY = "java.util.logging.manager";

    /** Keeps all handlers. */
    @Override
    public void reset() {
        // Called when the process ends, and nowhere else in the gateway.
    }
}
