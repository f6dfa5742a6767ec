package org.ibissaddle.cli;

import java.util.logging.ConsoleHandler;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.ibissaddle.daemon.log.KeepingLogManager;
import org.ibissaddle.daemon.log.LineFormatter;

/** Sends log lines to standard error, one line of key=value pairs each. */
final class Logging {
    private Logging() {}

    /** Selects a log manager that keeps its handlers to the end; works only before the first use of a logger. */
    static void selectManager() {
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
