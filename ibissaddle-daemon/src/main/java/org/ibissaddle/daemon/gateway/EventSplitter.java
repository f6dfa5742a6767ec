package org.ibissaddle.daemon.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;

/**
 * Splits an event stream at event boundaries, so that only complete events are relayed. Lines end with CR, LF or both.
 */
final class EventSplitter {
    /** Maximum size of an event, bytes; an event holds a few tokens. */
    private static final int MAX_EVENT_BYTES = 262_144;

    private final ByteBufAllocator allocator;
    private ByteBuf partialEvent;
    private boolean lineIsEmpty = true;
    private boolean afterCarriageReturn;

    EventSplitter(ByteBufAllocator allocator) {
        this.allocator = allocator;
    }

    /** Returns the events that the content completes, or an empty buffer. The calling code must release it. */
    ByteBuf add(ByteBuf content) {
        int end = endOfLastEvent(content);
        ByteBuf completeEvents = end == 0 ? Unpooled.EMPTY_BUFFER : complete(content, end);
        append(content, content.readerIndex() + end, content.readableBytes() - end);
        return completeEvents;
    }

    private ByteBuf complete(ByteBuf content, int end) {
        if (partialEvent == null) {
            return BodyBuffer.detach(allocator, content.slice(content.readerIndex(), end));
        }
        append(content, content.readerIndex(), end);
        ByteBuf events = partialEvent;
        partialEvent = null;
        return events;
    }

    private void append(ByteBuf content, int from, int bytes) {
        if (bytes == 0) {
            return;
        }
        if (partialEvent == null) {
            partialEvent = allocator.buffer(bytes);
        }
        partialEvent.writeBytes(content, from, bytes);
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
}
