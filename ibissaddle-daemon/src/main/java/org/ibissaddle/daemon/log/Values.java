package org.ibissaddle.daemon.log;

/** Writes values of key=value pairs. */
final class Values {
    private Values() {}

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
