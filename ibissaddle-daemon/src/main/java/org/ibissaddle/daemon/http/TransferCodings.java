package org.ibissaddle.daemon.http;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMessage;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** The transfer codings of a message, from all its {@code Transfer-Encoding} headers. */
final class TransferCodings {
    static final String CHUNKED = "chunked";

    private TransferCodings() {}

    /** Returns the codings in the order in which they were applied, in lower case with their parameters. */
    static List<String> of(HttpMessage message) {
        List<String> codings = new ArrayList<>();
        for (String value : message.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING)) {
            for (String coding : value.split(",", -1)) {
                String stripped = stripSpacesAndTabs(coding);
                if (!stripped.isEmpty()) {
                    codings.add(stripped.toLowerCase(Locale.ROOT));
                }
            }
        }
        return codings;
    }

    /** Returns whether a message has no transfer coding, or is only chunked. */
    static boolean areSupported(HttpMessage message) {
        return !message.headers().contains(HttpHeaderNames.TRANSFER_ENCODING)
                || of(message).equals(List.of(CHUNKED));
    }

    /** Other white space is no part of the syntax of a header. */
    private static String stripSpacesAndTabs(String value) {
        int start = 0;
        int end = value.length();
        while (start < end && isSpaceOrTab(value.charAt(start))) {
            start++;
        }
        while (end > start && isSpaceOrTab(value.charAt(end - 1))) {
            end--;
        }
        return value.substring(start, end);
    }

    private static boolean isSpaceOrTab(char next) {
        return next == ' ' || next == '\t';
    }
}
