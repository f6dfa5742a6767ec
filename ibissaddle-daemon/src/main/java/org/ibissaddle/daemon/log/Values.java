package org.ibissaddle.daemon.log;

/** Writes values of key=value pairs. */
final class Values {
    private Values() {}

    /** Appends keys and values, given in turn. */
    static void append(StringBuilder line, Object... pairs) {
        for (int i = 0; i + 1 < pairs.length; i += 2) {
            line.append(' ').append(pairs[i]).append('=').append(quoted(String.valueOf(pairs[i + 1])));
        }
    }

    /** Returns a value as it is, or in quotes when it would not read as one word. */
    static String quoted(String value) {
        boolean plain = !value.isEmpty() && value.chars().noneMatch(c -> c <= ' ' || c == '"' || c == '=');
        if (plain) {
            return value;
        }
        String escaped = value.replace("\\", "\\\\")
                .replace("\"", "\\\"")
                .replace("\n", "\\n")
                .replace("\r", "\\r");
        return '"' + escaped + '"';
    }
}
