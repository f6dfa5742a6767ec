package org.ibissaddle.daemon.log;

/** Formats key=value pairs of log lines. */
final class KeyValuePairs {
    private KeyValuePairs() {}

    /** Appends pairs, given as alternating keys and values. */
    static void append(StringBuilder line, Object... pairs) {
        for (int i = 0; i + 1 < pairs.length; i += 2) {
            line.append(' ').append(pairs[i]).append('=').append(quoteIfNeeded(String.valueOf(pairs[i + 1])));
        }
    }

    /**
     * Returns the value unchanged, or quoted and escaped when it is empty or contains blanks, control characters,
     * quotes or equals signs.
     */
    static String quoteIfNeeded(String value) {
        boolean unquoted = !value.isEmpty() && value.chars().noneMatch(c -> c <= ' ' || c == '"' || c == '=');
        if (unquoted) {
            return value;
        }
        String escaped = value.replace("\\", "\\\\")
                .replace("\"", "\\\"")
                .replace("\n", "\\n")
                .replace("\r", "\\r");
        return '"' + escaped + '"';
    }
}
