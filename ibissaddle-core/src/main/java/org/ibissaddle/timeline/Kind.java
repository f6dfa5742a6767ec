package org.ibissaddle.timeline;

import java.util.Locale;
import java.util.regex.Pattern;

/** Names of kinds of events and gaps. */
final class Kind {
    private static final Pattern WORD_START = Pattern.compile("(?<=[a-z])(?=[A-Z])");

    private Kind() {}

    static String of(Class<?> type) {
        return WORD_START.matcher(type.getSimpleName()).replaceAll("-").toLowerCase(Locale.ROOT);
    }
}
