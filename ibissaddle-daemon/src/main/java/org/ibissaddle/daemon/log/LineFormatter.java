package org.ibissaddle.daemon.log;

import java.util.Locale;
import java.util.logging.Formatter;
import java.util.logging.LogRecord;

/** Formats every record, those of libraries too, as one line of key=value pairs. */
public final class LineFormatter extends Formatter {
    private static final String OWN_LINE = "event=";

    @Override
    public String format(LogRecord entry) {
        String message = formatMessage(entry);
        String pairs = message.startsWith(OWN_LINE) ? message : ofLibrary(entry, message);
        String level = entry.getLevel().getName().toLowerCase(Locale.ROOT);
        return "at=" + entry.getInstant() + " level=" + level + " " + withoutBreaks(pairs) + "\n";
    }

    private static String ofLibrary(LogRecord entry, String message) {
        StringBuilder pairs = new StringBuilder("event=library logger=").append(entry.getLoggerName());
        pairs.append(" message=").append(Values.quoted(message));
        if (entry.getThrown() != null) {
            pairs.append(" cause=").append(Values.quoted(entry.getThrown().toString()));
        }
        return pairs.toString();
    }

    private static String withoutBreaks(String line) {
        return line.replace("\n", "\\n").replace("\r", "\\r");
    }
}
