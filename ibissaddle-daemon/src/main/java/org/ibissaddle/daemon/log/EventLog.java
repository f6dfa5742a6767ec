package org.ibissaddle.daemon.log;

import com.google.common.flogger.FluentLogger;
import java.util.logging.Level;

/** Logs each event as one line of key=value pairs. Callers must not pass prompts, request bodies or response bodies. */
public final class EventLog {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final String instance;

    /**
     * Creates the event log of an instance.
     *
     * @param instance instance name that is added to every line
     */
    public EventLog(String instance) {
        this.instance = instance;
    }

    /**
     * Logs an event at level {@code INFO}.
     *
     * @param event name of the event in lower case with hyphens
     * @param pairs alternating keys and values
     */
    public void info(String event, Object... pairs) {
        log(Level.INFO, event, pairs);
    }

    /**
     * Logs an event that needs the attention of an operator, at level {@code WARNING}.
     *
     * @param event name of the event in lower case with hyphens
     * @param pairs alternating keys and values
     */
    public void warning(String event, Object... pairs) {
        log(Level.WARNING, event, pairs);
    }

    /**
     * Logs an event for debugging, at level {@code FINE}.
     *
     * @param event name of the event in lower case with hyphens
     * @param pairs alternating keys and values
     */
    public void debug(String event, Object... pairs) {
        log(Level.FINE, event, pairs);
    }

    private void log(Level level, String event, Object... pairs) {
        if (!LOGGER.at(level).isEnabled()) {
            return;
        }
        LOGGER.at(level).log("%s", formatLine(event, pairs));
    }

    private String formatLine(String event, Object... pairs) {
        StringBuilder line = new StringBuilder("event=").append(event);
        line.append(" instance=").append(instance);
        KeyValuePairs.append(line, pairs);
        return line.toString();
    }
}
