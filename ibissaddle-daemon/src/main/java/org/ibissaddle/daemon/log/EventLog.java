package org.ibissaddle.daemon.log;

import com.google.common.flogger.FluentLogger;
import java.util.logging.Level;

/** Writes one line of key=value pairs for each event. Never given prompts, bodies or answers. */
public final class EventLog {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final String instance;

    /**
     * Creates the log of an instance.
     *
     * @param instance name that every line carries
     */
    public EventLog(String instance) {
        this.instance = instance;
    }

    /**
     * Logs an ordinary event.
     *
     * @param event name of the event, lower case with hyphens
     * @param pairs keys and values in turn
     */
    public void info(String event, Object... pairs) {
        log(Level.INFO, event, pairs);
    }

    /**
     * Logs an event that an operator should look at.
     *
     * @param event name of the event, lower case with hyphens
     * @param pairs keys and values in turn
     */
    public void warning(String event, Object... pairs) {
        log(Level.WARNING, event, pairs);
    }

    /**
     * Logs an event of interest to developers.
     *
     * @param event name of the event, lower case with hyphens
     * @param pairs keys and values in turn
     */
    public void fine(String event, Object... pairs) {
        log(Level.FINE, event, pairs);
    }

    private void log(Level level, String event, Object... pairs) {
        if (!LOGGER.at(level).isEnabled()) {
            return;
        }
        LOGGER.at(level).log("%s", line(event, pairs));
    }

    private String line(String event, Object... pairs) {
        StringBuilder line = new StringBuilder("event=").append(event);
        line.append(" instance=").append(instance);
        Values.append(line, pairs);
        return line.toString();
    }
}
