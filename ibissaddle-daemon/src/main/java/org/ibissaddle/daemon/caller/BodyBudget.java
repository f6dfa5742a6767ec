package org.ibissaddle.daemon.caller;

import java.util.concurrent.atomic.AtomicLong;

/** Limits the total memory that the process uses for request bodies, across all connections. */
final class BodyBudget {
    private final long maxBytes;
    private final AtomicLong reserved = new AtomicLong();

    BodyBudget(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Reserves bytes of the budget; reserves none and returns false if fewer are available. */
    boolean tryReserve(int bytes) {
        if (reserved.addAndGet(bytes) <= maxBytes) {
            return true;
        }
        reserved.addAndGet(-bytes);
        return false;
    }

    void release(int bytes) {
        reserved.addAndGet(-bytes);
    }

    long reservedBytes() {
        return reserved.get();
    }
}
