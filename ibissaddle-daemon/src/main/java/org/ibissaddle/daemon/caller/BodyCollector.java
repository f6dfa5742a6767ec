package org.ibissaddle.daemon.caller;

import io.netty.buffer.ByteBuf;
import java.util.Arrays;
import java.util.OptionalLong;

/** Collects the body of one request in one array that grows with what has arrived, never with what was declared. */
final class BodyCollector {
    private static final int FIRST_BYTES = 4 * 1024;

    private final BodyBudget budget;
    private final int maxBytes;
    private byte[] bytes = {};
    private int length;

    /**
     * Starts an empty body.
     *
     * @param budget what the process may hold
     * @param declared length that the caller has declared
     * @param maxBytes greatest body
     */
    BodyCollector(BodyBudget budget, OptionalLong declared, int maxBytes) {
        this.budget = budget;
        this.maxBytes = (int) Math.min(maxBytes, declared.orElse(maxBytes));
    }

    /** Tells whether a part would exceed the greatest body. */
    boolean exceeds(ByteBuf part) {
        return (long) length + part.readableBytes() > maxBytes;
    }

    /** Adds a part; false when the process holds too much already. */
    boolean add(ByteBuf part) {
        int size = part.readableBytes();
        if (length + size > bytes.length && !grow(length + size)) {
            return false;
        }
        part.readBytes(bytes, length, size);
        length += size;
        return true;
    }

    private boolean grow(int needed) {
        long doubled = Math.max(FIRST_BYTES, 2L * bytes.length);
        int next = (int) Math.min(maxBytes, Math.max(needed, doubled));
        if (!budget.take(next - bytes.length)) {
            return false;
        }
        bytes = Arrays.copyOf(bytes, next);
        return true;
    }

    /** Returns the whole body; copied only when its length was not declared. */
    byte[] whole() {
        if (length == bytes.length) {
            return bytes;
        }
        budget.giveBack(bytes.length - length);
        bytes = Arrays.copyOf(bytes, length);
        return bytes;
    }

    /** Gives back what the body has taken of the budget. */
    void release() {
        budget.giveBack(bytes.length);
        bytes = new byte[0];
        length = 0;
    }
}
