package org.ibissaddle.cli;

import java.util.logging.ConsoleHandler;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.ibissaddle.daemon.log.KeepingLogManager;
import org.ibissaddle.daemon.log.LineFormatter;

/** Configures logging to standard error, one line of key=value pairs per record. */
final class Logging {
    private Logging() {}

    /**
     * Installs a log manager that keeps its handlers until the process ends. Must run before the first use of a logger.
     */
    static void installLogManager() {
        System.setProperty(KeepingLogManager.PROPERTY, KeepingLogManager.class.getName());
    }

    static void configure(Level level) {
        Logger root = Logger.getLogger("");
        for (Handler handler : root.getHandlers()) {
            root.removeHandler(handler);
        }
        ConsoleHandler console = new ConsoleHandler();
        console.setLevel(level);
        console.setFormatter(new LineFormatter());
        root.addHandler(console);
        root.setLevel(level);
    }
}
