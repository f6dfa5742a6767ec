package org.ibissaddle.cli;

import java.util.logging.ConsoleHandler;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/** Sends log lines to standard error, one line of key=value pairs each. */
final class Logging {
    private Logging() {}

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

    private static final class LineFormatter extends Formatter {
        @Override
        public String format(LogRecord entry) {
            String message = formatMessage(entry);
            String pairs = message.startsWith("event=") ? message : "event=library message=\"" + escape(message) + '"';
            return "at=" + entry.getInstant() + " level="
                    + entry.getLevel().getName().toLowerCase(java.util.Locale.ROOT) + " " + pairs + "\n";
        }

        private static String escape(String text) {
            return text.replace("\\", "\\\\")
                    .replace("\"", "\\\"")
                    .replace("\n", "\\n")
                    .replace("\r", "\\r");
        }
    }
}
