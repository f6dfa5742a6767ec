package org.ibissaddle.daemon.caller;

import io.netty.buffer.ByteBuf;
import java.util.Arrays;
import java.util.OptionalLong;

/**
 * Collects the body of a request in an array that grows with the bytes received, so that a declared length alone uses
 * no memory.
 */
final class BodyCollector {
    private static final int INITIAL_CAPACITY = 4 * 1024;

    private final BodyBudget budget;
    private final int maxBytes;
    private byte[] bytes = {};
    private int length;

    /**
     * Creates a collector for an empty body.
     *
     * @param budget memory budget of the process for request bodies
     * @param declaredLength length declared by the client, empty if unknown
     * @param maxBytes maximum length of a body
     */
    BodyCollector(BodyBudget budget, OptionalLong declaredLength, int maxBytes) {
        this.budget = budget;
        this.maxBytes = (int) Math.min(maxBytes, declaredLength.orElse(maxBytes));
    }

    /** Returns whether appending a chunk would exceed the maximum or declared length. */
    boolean exceeds(ByteBuf chunk) {
        return (long) length + chunk.readableBytes() > maxBytes;
    }

    /** Appends a chunk; returns false if the memory budget of the process is exhausted. */
    boolean append(ByteBuf chunk) {
        int size = chunk.readableBytes();
        if (length + size > bytes.length && !grow(length + size)) {
            return false;
        }
        chunk.readBytes(bytes, length, size);
        length += size;
        return true;
    }

    private boolean grow(int requiredCapacity) {
        long doubledCapacity = Math.max(INITIAL_CAPACITY, 2L * bytes.length);
        int newCapacity = (int) Math.min(maxBytes, Math.max(requiredCapacity, doubledCapacity));
        if (!budget.tryReserve(newCapacity - bytes.length)) {
            return false;
        }
        bytes = Arrays.copyOf(bytes, newCapacity);
        return true;
    }

    /** Returns the complete body; the array is copied only if its capacity exceeds the length of the body. */
    byte[] toByteArray() {
        if (length == bytes.length) {
            return bytes;
        }
        budget.release(bytes.length - length);
        bytes = Arrays.copyOf(bytes, length);
        return bytes;
    }

    /** Discards the body and releases its memory budget. */
    void release() {
        budget.release(bytes.length);
        bytes = new byte[0];
        length = 0;
    }
}
