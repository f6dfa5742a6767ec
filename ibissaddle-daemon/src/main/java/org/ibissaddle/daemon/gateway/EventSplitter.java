package org.ibissaddle.daemon.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.util.ByteProcessor;
import java.nio.charset.StandardCharsets;

/**
 * Splits an event stream at event boundaries, so that only complete events are relayed, and tracks the last event id.
 * Lines end with CR, LF or both.
 */
final class EventSplitter {
    /** Maximum size of an event, bytes; an event holds a few tokens. */
    private static final int MAX_EVENT_BYTES = 262_144;

    private static final byte[] ID = "id:".getBytes(StandardCharsets.US_ASCII);

    private final ByteBufAllocator allocator;
    private ByteBuf partialEvent;
    private String lastId = "";
    private boolean lineIsEmpty = true;
    private boolean afterCarriageReturn;

    EventSplitter(ByteBufAllocator allocator) {
        this.allocator = allocator;
    }

    /** Returns the events that the content completes, or an empty buffer. The calling code must release it. */
    ByteBuf add(ByteBuf content) {
        int partialBytes = partialEventBytes();
        int end = endOfLastEvent(content);
        ByteBuf joined = join(content);
        ByteBuf completeEvents = joined.readRetainedSlice(end == 0 ? 0 : partialBytes + end);
        if (joined.isReadable()) {
            partialEvent = joined;
        } else {
            joined.release();
        }
        recordIds(completeEvents);
        return completeEvents;
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
    void discardPartialEvent() {
        releasePartialEvent();
        lineIsEmpty = true;
        afterCarriageReturn = false;
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
        releasePartialEvent();
        return joined;
    }

    private void releasePartialEvent() {
        if (partialEvent != null) {
            partialEvent.release();
            partialEvent = null;
        }
    }

    /** Returns the length up to and including the last blank line, or 0 if there is none. */
    private int endOfLastEvent(ByteBuf content) {
        int end = 0;
        boolean betweenEvents = partialEvent == null;
        for (int i = content.readerIndex(); i < content.writerIndex(); i++) {
            byte next = content.getByte(i);
            boolean completesLineEnd = next == '\n' && afterCarriageReturn;
            boolean endsLine = next == '\n' || next == '\r';
            betweenEvents = completesLineEnd ? betweenEvents : endsLine && lineIsEmpty;
            if (betweenEvents) {
                end = i + 1 - content.readerIndex();
            }
            lineIsEmpty = endsLine;
            afterCarriageReturn = next == '\r';
        }
        return end;
    }

    private void recordIds(ByteBuf events) {
        int lineStart = events.readerIndex();
        while (lineStart < events.writerIndex()) {
            int lineEnd = events.forEachByte(lineStart, events.writerIndex() - lineStart, ByteProcessor.FIND_CRLF);
            int end = lineEnd < 0 ? events.writerIndex() : lineEnd;
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
