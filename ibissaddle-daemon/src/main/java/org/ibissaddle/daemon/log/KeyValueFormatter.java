package org.ibissaddle.daemon.log;

import java.util.Locale;
import java.util.logging.Formatter;
import java.util.logging.LogRecord;

/** Formats every log record, including those of libraries, as one line of key=value pairs. */
public final class KeyValueFormatter extends Formatter {
    private static final String EVENT_PREFIX = "event=";

    @Override
    public String format(LogRecord logRecord) {
        String message = formatMessage(logRecord);
        String pairs = message.startsWith(EVENT_PREFIX) ? message : formatLibraryRecord(logRecord, message);
        String level = logRecord.getLevel().getName().toLowerCase(Locale.ROOT);
        return "at=" + logRecord.getInstant() + " level=" + level + " " + escapeLineBreaks(pairs) + "\n";
    }

    private static String formatLibraryRecord(LogRecord logRecord, String message) {
        StringBuilder pairs = new StringBuilder("event=library logger=").append(logRecord.getLoggerName());
        pairs.append(" message=").append(KeyValuePairs.quoteIfNeeded(message));
        if (logRecord.getThrown() != null) {
            pairs.append(" cause=")
                    .append(KeyValuePairs.quoteIfNeeded(logRecord.getThrown().toString()));
        }
        return pairs.toString();
    }

    private static String escapeLineBreaks(String line) {
        return line.replace("\n", "\\n").replace("\r", "\\r");
    }
}
