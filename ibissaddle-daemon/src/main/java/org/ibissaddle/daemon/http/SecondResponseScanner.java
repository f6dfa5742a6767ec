package org.ibissaddle.daemon.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.regex.Pattern;

/**
 * Finds the head of another response in a body that ends with its connection. Only the request id in such a head tells
 * it from text of the body, so all bytes that may belong to a head are held back until it is complete.
 */
final class SecondResponseScanner {
    private static final String VERSION_PREFIX = "HTTP/1.";
    /** Start of a status line; each 0 stands for a digit. */
    private static final String STATUS_LINE_START = VERSION_PREFIX + "0 000";

    /** Size from which held bytes at the end of a connection are taken for the beginning of a head, bytes. */
    private static final int MIN_HEAD_BYTES = "HTTP/".length();

    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.\\d \\d{3}( [^\\r]*)?");
    private static final Pattern INTERIM_STATUS_LINE = Pattern.compile("HTTP/1\\.\\d 1\\d{2}( [^\\r]*)?");
    private static final Pattern HEADER = Pattern.compile("[!#$%&'*+.^_`|~0-9A-Za-z-]+:[^\\r]*");

    private final String idHeader;
    private final Predicate<String> isOtherResponse;
    /** The bytes that are held back, in a buffer that needs no release. */
    private final ByteBuf held = Unpooled.buffer(0);
    /** Start of the possible head. */
    private int headStart;
    /** Start of the latest line of the possible head. */
    private int lineStart;
    /** End of the part of this line that is known to have no line feed; each byte is searched once. */
    private int scannedEnd;
    /** Whether the latest line has to be a status line: the first one, or one after an interim response. */
    private boolean statusLineDue;

    private boolean interim;

    private Optional<String> id = Optional.empty();
    private boolean found;

    /**
     * Creates a scanner.
     *
     * @param idHeader name of the header with the request id
     * @param isOtherResponse returns whether a head with a request id begins another response; otherwise it is text
     */
    SecondResponseScanner(String idHeader, Predicate<String> isOtherResponse) {
        this.idHeader = idHeader + ":";
        this.isOtherResponse = isOtherResponse;
    }

    /** Returns the bytes that are known to belong to the body. The calling code must release them. */
    ByteBuf add(ByteBuf content) {
        if (!held.isReadable() && indexOfHead(content, content.readerIndex()) == content.writerIndex()) {
            return content.retainedDuplicate();
        }
        held.writeBytes(content, content.readerIndex(), content.readableBytes());
        scan();
        ByteBuf body = held.readBytes(headStart);
        held.discardReadBytes();
        lineStart -= headStart;
        scannedEnd -= headStart;
        headStart = 0;
        return body;
    }

    /** Returns the id in the head of another response that follows the body. */
    Optional<String> foundId() {
        return found ? id : Optional.empty();
    }

    /**
     * Returns whether the bytes that are held back may be the beginning of another response. Up to four bytes are taken
     * for text, since a body may well end with the letters of HTTP.
     */
    boolean isInsideHead() {
        return held.readableBytes() >= MIN_HEAD_BYTES;
    }

    /** Returns the bytes that are held back, at the end of the body. */
    ByteBuf takeHeld() {
        return held.readBytes(held.readableBytes());
    }

    private void scan() {
        if (lineStart == headStart) {
            searchFrom(headStart);
        }
        while (!found && held.writerIndex() - headStart >= STATUS_LINE_START.length()) {
            int lineEnd = held.indexOf(scannedEnd, held.writerIndex(), (byte) '\n');
            if (lineEnd >= 0) {
                addLine(lineEnd);
                continue;
            }
            int lastByte = Math.max(scannedEnd, held.writerIndex() - 1);
            int carriageReturn = held.indexOf(scannedEnd, lastByte, (byte) '\r');
            scannedEnd = lastByte;
            if (carriageReturn >= 0) {
                searchFrom(carriageReturn + 1);
            } else if (held.writerIndex() - headStart > HttpClient.MAX_HEAD_BYTES) {
                searchFrom(lineStart == headStart ? headStart + 1 : lineStart);
            } else {
                return;
            }
        }
    }

    private void addLine(int lineEnd) {
        int end = lineEnd > lineStart && held.getByte(lineEnd - 1) == '\r' ? lineEnd - 1 : lineEnd;
        String line = held.toString(lineStart, end - lineStart, StandardCharsets.ISO_8859_1);
        int lastStart = line.lastIndexOf(VERSION_PREFIX);
        if (lastStart > 0
                && STATUS_LINE.matcher(line).region(lastStart, line.length()).matches()) {
            // A head may follow text without a line feed.
            searchFrom(lineStart + lastStart);
            return;
        }
        if (lineEnd - headStart > HttpClient.MAX_HEAD_BYTES || !isExpected(line)) {
            searchFrom(lineStart == headStart ? headStart + Math.max(1, lastStart) : lineStart);
            return;
        }
        if (line.isEmpty() && !interim) {
            found = id.isPresent();
            if (!found) {
                searchFrom(lineEnd + 1);
            }
            return;
        }
        if (statusLineDue) {
            interim = INTERIM_STATUS_LINE.matcher(line).matches();
        } else if (line.regionMatches(true, 0, idHeader, 0, idHeader.length())) {
            id = Optional.of(line.substring(idHeader.length()).trim()).filter(isOtherResponse);
        }
        statusLineDue = line.isEmpty();
        lineStart = lineEnd + 1;
        scannedEnd = lineStart;
    }

    private boolean isExpected(String line) {
        if (statusLineDue) {
            return STATUS_LINE.matcher(line).matches();
        }
        return line.isEmpty() || HEADER.matcher(line).matches();
    }

    /** Continues with the next possible head. No earlier one can be a head. */
    private void searchFrom(int from) {
        headStart = indexOfHead(held, from);
        lineStart = headStart;
        scannedEnd = Math.max(scannedEnd, headStart);
        statusLineDue = true;
        interim = false;
        id = Optional.empty();
    }

    /** Returns where the first status line begins, which may be incomplete; the end of the bytes if there is none. */
    private static int indexOfHead(ByteBuf bytes, int from) {
        int at = bytes.indexOf(from, bytes.writerIndex(), (byte) STATUS_LINE_START.charAt(0));
        while (at >= 0 && !isStatusLineStart(bytes, at)) {
            at = bytes.indexOf(at + 1, bytes.writerIndex(), (byte) STATUS_LINE_START.charAt(0));
        }
        return at >= 0 ? at : bytes.writerIndex();
    }

    private static boolean isStatusLineStart(ByteBuf bytes, int at) {
        int length = Math.min(STATUS_LINE_START.length(), bytes.writerIndex() - at);
        for (int i = 0; i < length; i++) {
            char expected = STATUS_LINE_START.charAt(i);
            byte next = bytes.getByte(at + i);
            if (expected == '0' ? next < '0' || next > '9' : next != expected) {
                return false;
            }
        }
        return true;
    }
}
