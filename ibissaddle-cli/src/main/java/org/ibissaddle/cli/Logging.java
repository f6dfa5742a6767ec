package org.ibissaddle.cli;

import java.util.logging.ConsoleHandler;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.ibissaddle.daemon.log.KeyValueFormatter;
import org.ibissaddle.daemon.log.NonResettingLogManager;

/** Configures logging to standard error, one line of key=value pairs per record. */
final class Logging {
    private Logging() {}

    /**
     * Installs a log manager that keeps its handlers until the process ends. Must run before the first use of a logger.
     */
    static void installLogManager() {
        System.setProperty(NonResettingLogManager.PROPERTY, NonResettingLogManager.class.getName());
    }

    static void configure(Level level) {
        Logger root = Logger.getLogger("");
        for (Handler handler : root.getHandlers()) {
            root.removeHandler(handler);
        }
        ConsoleHandler console = new ConsoleHandler();
        console.setLevel(level);
        console.setFormatter(new KeyValueFormatter());
        root.addHandler(console);
        root.setLevel(level);
    }
}
