package org.ibissaddle.daemon.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.util.ByteProcessor;
import java.nio.charset.StandardCharsets;

/**
 * Splits an event stream at event boundaries, so that only complete events are relayed, and tracks the last event id.
 */
final class EventSplitter {
    /** Maximum size of an event, bytes; an event holds a few tokens. */
    private static final int MAX_EVENT_BYTES = 262_144;

    private static final byte[] ID = "id:".getBytes(StandardCharsets.US_ASCII);

    private final ByteBufAllocator allocator;
    private ByteBuf partialEvent;
    private String lastId = "";

    EventSplitter(ByteBufAllocator allocator) {
        this.allocator = allocator;
    }

    /** Returns the events that the content completes, or an empty buffer. The calling code must release it. */
    ByteBuf add(ByteBuf content) {
        ByteBuf joined = join(content);
        int end = endOfLastEvent(joined);
        ByteBuf completeEvents = joined.readRetainedSlice(end);
        if (joined.isReadable()) {
            partialEvent = joined;
        } else {
            joined.release();
        }
        recordIds(completeEvents);
        return completeEvents;
    }

    /** Returns the bytes after the last complete event, or null. The calling code must release them. */
    ByteBuf takeRemainder() {
        ByteBuf remainder = partialEvent;
        partialEvent = null;
        return remainder;
    }

    /** Returns whether the bytes after the last complete event exceed the maximum size of an event. */
    boolean isPartialEventTooLong() {
        return partialEventBytes() > MAX_EVENT_BYTES;
    }

    /** Returns the number of bytes after the last complete event. */
    int partialEventBytes() {
        return partialEvent == null ? 0 : partialEvent.readableBytes();
    }

    /** Discards the bytes after the last complete event. */
    void discardRemainder() {
        if (partialEvent != null) {
            partialEvent.release();
            partialEvent = null;
        }
    }

    /** Returns the id of the last complete event; empty before the first. */
    String lastId() {
        return lastId;
    }

    private ByteBuf join(ByteBuf content) {
        if (partialEvent == null) {
            return content.retainedDuplicate();
        }
        ByteBuf joined = allocator.buffer(partialEvent.readableBytes() + content.readableBytes());
        joined.writeBytes(partialEvent).writeBytes(content, content.readerIndex(), content.readableBytes());
        discardRemainder();
        return joined;
    }

    /** Returns the length up to and including the last blank line, or 0 if there is none. */
    private static int endOfLastEvent(ByteBuf bytes) {
        int index = bytes.writerIndex();
        while (index > bytes.readerIndex()) {
            int newline = bytes.forEachByteDesc(
                    bytes.readerIndex(), index - bytes.readerIndex(), new ByteProcessor.IndexOfProcessor((byte) '\n'));
            if (newline < 0) {
                return 0;
            }
            if (endsBlankLine(bytes, newline)) {
                return newline + 1 - bytes.readerIndex();
            }
            index = newline;
        }
        return 0;
    }

    private static boolean endsBlankLine(ByteBuf bytes, int newline) {
        int before = newline - 1;
        if (before >= bytes.readerIndex() && bytes.getByte(before) == '\r') {
            before--;
        }
        return before >= bytes.readerIndex() && bytes.getByte(before) == '\n';
    }

    private void recordIds(ByteBuf events) {
        int lineStart = events.readerIndex();
        while (lineStart < events.writerIndex()) {
            int newline = events.indexOf(lineStart, events.writerIndex(), (byte) '\n');
            int end = newline < 0 ? events.writerIndex() : newline;
            if (startsWithId(events, lineStart, end)) {
                lastId = events.toString(lineStart + ID.length, end - lineStart - ID.length, StandardCharsets.UTF_8)
                        .trim();
            }
            lineStart = end + 1;
        }
    }

    private static boolean startsWithId(ByteBuf events, int lineStart, int end) {
        if (end - lineStart < ID.length) {
            return false;
        }
        for (int i = 0; i < ID.length; i++) {
            if (events.getByte(lineStart + i) != ID[i]) {
                return false;
            }
        }
        return true;
    }
}
