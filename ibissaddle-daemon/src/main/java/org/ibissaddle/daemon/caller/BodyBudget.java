package org.ibissaddle.daemon.caller;

import java.util.concurrent.atomic.AtomicLong;

/** Bounds the bytes of request bodies that one process holds at a time, over all connections. */
final class BodyBudget {
    private final long maxBytes;
    private final AtomicLong held = new AtomicLong();

    BodyBudget(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Takes bytes of the budget, or none when not all are free. */
    boolean take(int bytes) {
        if (held.addAndGet(bytes) <= maxBytes) {
            return true;
        }
        held.addAndGet(-bytes);
        return false;
    }

    void giveBack(int bytes) {
        held.addAndGet(-bytes);
    }

    long heldBytes() {
        return held.get();
    }
}
