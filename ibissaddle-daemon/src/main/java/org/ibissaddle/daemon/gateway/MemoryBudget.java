package org.ibissaddle.daemon.gateway;

/** Bounds the memory that all requests of an instance use for one purpose. Confined to the event loop. */
final class MemoryBudget {
    private final long maxBytes;
    private long usedBytes;

    MemoryBudget(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** The part of the budget that one request uses. */
    final class Share {
        private int bytes;

        /** Changes the size of this share; returns false and leaves it unchanged if the budget is exhausted. */
        boolean tryResize(int newBytes) {
            int growth = newBytes - bytes;
            if (growth > 0 && usedBytes + growth > maxBytes) {
                return false;
            }
            usedBytes += growth;
            bytes = newBytes;
            return true;
        }

        /** Returns the share to the budget. */
        void release() {
            usedBytes -= bytes;
            bytes = 0;
        }
    }
}
