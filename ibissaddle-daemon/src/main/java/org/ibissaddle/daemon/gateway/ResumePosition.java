package org.ibissaddle.daemon.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.util.ByteProcessor;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Tracks the id of the last event of a stream, after which another server can resume it. The id is sent as a header, so
 * an event with an id that is no header value, or that does not follow the ids before it, is rejected.
 */
final class ResumePosition {
    /** Maximum size of an id, bytes; it has to fit in the head of a request. */
    private static final int MAX_ID_BYTES = 1_024;
    /** Maximum number of digits of an id that is compared as a number. */
    private static final int MAX_DIGITS = 18;

    private static final byte[] ID = "id".getBytes(StandardCharsets.US_ASCII);
    private static final byte[] DATA = "data".getBytes(StandardCharsets.US_ASCII);

    private String lastId = "";
    private boolean known = true;
    private Optional<String> currentId = Optional.empty();
    private boolean currentHasData;

    /** Returns the id of the last accepted event as a header value; empty before the first. */
    String lastId() {
        return lastId;
    }

    /** Whether the stream can be resumed after the last accepted event; it cannot if that event has no id. */
    boolean isKnown() {
        return known;
    }

    /**
     * Moves the position to the last of the given events.
     *
     * @param events complete events; the indexes of the buffer stay unchanged
     * @return the number of bytes of the events before the first malformed one; all bytes if there is none
     */
    int advance(ByteBuf events) {
        int acceptedEnd = events.readerIndex();
        int lineStart = events.readerIndex();
        while (lineStart < events.writerIndex()) {
            int lineEnd = endOfLine(events, lineStart);
            int nextLine = startOfNextLine(events, lineEnd);
            if (lineEnd > lineStart) {
                readField(events, lineStart, lineEnd);
            } else if (completeEvent()) {
                acceptedEnd = nextLine;
            } else {
                break;
            }
            lineStart = nextLine;
        }
        return acceptedEnd - events.readerIndex();
    }

    private static int endOfLine(ByteBuf events, int lineStart) {
        int end = events.forEachByte(lineStart, events.writerIndex() - lineStart, ByteProcessor.FIND_CRLF);
        return end < 0 ? events.writerIndex() : end;
    }

    private static int startOfNextLine(ByteBuf events, int lineEnd) {
        int next = lineEnd + 1;
        boolean twoBytes =
                next < events.writerIndex() && events.getByte(lineEnd) == '\r' && events.getByte(next) == '\n';
        return twoBytes ? next + 1 : next;
    }

    private void readField(ByteBuf events, int lineStart, int lineEnd) {
        int colon = events.indexOf(lineStart, lineEnd, (byte) ':');
        int nameEnd = colon < 0 ? lineEnd : colon;
        if (isField(DATA, events, lineStart, nameEnd)) {
            currentHasData = true;
        } else if (isField(ID, events, lineStart, nameEnd)) {
            int valueStart = Math.min(nameEnd + 1, lineEnd);
            // One char for each byte, as in a header.
            String value = events.toString(valueStart, lineEnd - valueStart, StandardCharsets.ISO_8859_1);
            currentId = Optional.of(stripSpaces(value));
        }
    }

    private static boolean isField(byte[] name, ByteBuf events, int start, int end) {
        if (end - start != name.length) {
            return false;
        }
        for (int i = 0; i < name.length; i++) {
            if (events.getByte(start + i) != name[i]) {
                return false;
            }
        }
        return true;
    }

    /** Ends the current event and returns whether it is accepted. */
    private boolean completeEvent() {
        Optional<String> id = currentId;
        boolean hasData = currentHasData;
        currentId = Optional.empty();
        currentHasData = false;
        if (id.isEmpty()) {
            known &= !hasData;
            return true;
        }
        if (!isHeaderValue(id.get()) || !isAfterLastId(id.get())) {
            return false;
        }
        lastId = id.get();
        known = !lastId.isEmpty();
        return true;
    }

    /** Header values are sent without the spaces around them. */
    private static String stripSpaces(String value) {
        int start = 0;
        int end = value.length();
        while (start < end && value.charAt(start) == ' ') {
            start++;
        }
        while (end > start && value.charAt(end - 1) == ' ') {
            end--;
        }
        return value.substring(start, end);
    }

    private static boolean isHeaderValue(String id) {
        return id.length() <= MAX_ID_BYTES && id.chars().noneMatch(next -> next < ' ' || next == 0x7f);
    }

    /** Ids that are numbers increase; others have no order. */
    private boolean isAfterLastId(String id) {
        OptionalLong last = number(lastId);
        if (last.isEmpty()) {
            return true;
        }
        OptionalLong next = number(id);
        return next.isPresent() && next.getAsLong() > last.getAsLong();
    }

    private static OptionalLong number(String id) {
        boolean decimal = !id.isEmpty()
                && id.length() <= MAX_DIGITS
                && id.chars().allMatch(digit -> digit >= '0' && digit <= '9');
        return decimal ? OptionalLong.of(Long.parseLong(id)) : OptionalLong.empty();
    }
}
