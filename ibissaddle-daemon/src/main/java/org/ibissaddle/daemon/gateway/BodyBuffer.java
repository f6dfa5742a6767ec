package org.ibissaddle.daemon.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;

/**
 * Collects the content of a body. Small contents are copied: each one keeps the whole buffer in which it was received,
 * which may be many times larger, for example if each chunk has one byte and a long extension.
 */
final class BodyBuffer {
    /** Size from which content is kept as received, bytes. */
    private static final int MIN_SHARED_BYTES = 8_192;
    /** Size of a buffer that small contents are copied to, bytes. */
    private static final int MAX_COPY_BYTES = 16_384;

    private final ByteBufAllocator allocator;
    private CompositeByteBuf body;
    private ByteBuf copies;
    private int size;

    BodyBuffer(ByteBufAllocator allocator) {
        this.allocator = allocator;
    }

    /**
     * Returns content that can be kept without the buffer in which it was received. The calling code must release it.
     */
    static ByteBuf detach(ByteBufAllocator allocator, ByteBuf content) {
        if (content.readableBytes() >= MIN_SHARED_BYTES) {
            return content.retainedDuplicate();
        }
        return allocator
                .buffer(content.readableBytes())
                .writeBytes(content, content.readerIndex(), content.readableBytes());
    }

    /** Returns the number of collected bytes. */
    int size() {
        return size;
    }

    /** Adds content; the calling code keeps its ownership. */
    void add(ByteBuf content) {
        size += content.readableBytes();
        if (content.readableBytes() >= MIN_SHARED_BYTES) {
            addCopies();
            body().addComponent(true, content.retainedDuplicate());
            return;
        }
        int from = content.readerIndex();
        while (from < content.writerIndex()) {
            if (copies == null) {
                copies = allocator.buffer(content.writerIndex() - from, MAX_COPY_BYTES);
            }
            int copied = Math.min(content.writerIndex() - from, copies.maxWritableBytes());
            copies.writeBytes(content, from, copied);
            from += copied;
            if (copies.maxWritableBytes() == 0) {
                addCopies();
            }
        }
    }

    /** Returns the collected content, which the calling code must release, and starts anew. */
    ByteBuf take() {
        if (body == null && copies != null) {
            ByteBuf taken = copies;
            copies = null;
            size = 0;
            return taken;
        }
        addCopies();
        ByteBuf taken = body == null ? Unpooled.EMPTY_BUFFER : body;
        body = null;
        size = 0;
        return taken;
    }

    /** Discards the collected content. */
    void release() {
        take().release();
    }

    private CompositeByteBuf body() {
        if (body == null) {
            body = allocator.compositeBuffer(Integer.MAX_VALUE);
        }
        return body;
    }

    private void addCopies() {
        if (copies != null) {
            body().addComponent(true, copies);
            copies = null;
        }
    }
}
