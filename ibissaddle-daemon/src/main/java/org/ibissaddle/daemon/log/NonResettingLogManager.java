package org.ibissaddle.daemon.log;

import java.util.logging.LogManager;

/**
 * A log manager that keeps its handlers during JVM shutdown. The default log manager removes them in a shutdown hook
 * while connections are still being drained, so that log lines of the drain are lost. It is selected by the system
 * property {@code java.util.logging.manager}, which must be set before the first use of a logger.
 */
public final class NonResettingLogManager extends LogManager {
    /** System property that selects the log manager. */
    public static final String PROPERTY = "java.util.logging.manager";

    /** Does nothing, so that the handlers are kept. */
    @Override
    public void reset() {
        // In the gateway this is called only at shutdown, by the JDK.
    }
}
