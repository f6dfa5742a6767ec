package org.ibissaddle.timeline;

import java.util.Locale;
import java.util.regex.Pattern;

/** Converts the class names of events and gaps to their names in JSON and text. */
final class KindName {
    private static final Pattern WORD_BOUNDARY = Pattern.compile("(?<=[a-z])(?=[A-Z])");

    private KindName() {}

    static String of(Class<?> type) {
        return WORD_BOUNDARY.matcher(type.getSimpleName()).replaceAll("-").toLowerCase(Locale.ROOT);
    }
}
