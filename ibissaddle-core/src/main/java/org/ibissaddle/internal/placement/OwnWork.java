package org.ibissaddle.internal.placement;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicLongArray;

/** Own outstanding work at one server, with its recent past so that late reports can be set against it. */
final class OwnWork {
    private static final int BUCKETS = 128;
    private static final long BUCKET_MS = 50;
    private static final int COUNT_BITS = 12;
    private static final int PREFILL_BITS = 26;
    private static final long COUNT_MAX = (1L << COUNT_BITS) - 1;
    private static final long TOKENS_MAX = (1L << PREFILL_BITS) - 1;

    private final AtomicLong prefill = new AtomicLong();
    private final AtomicLong decode = new AtomicLong();
    private final AtomicInteger requests = new AtomicInteger();
    private final AtomicLongArray stamps = new AtomicLongArray(BUCKETS);
    private final AtomicLongArray past = new AtomicLongArray(BUCKETS);

    /** Uncached prompt tokens sent whose first token has not come. */
    long prefill() {
        return prefill.get();
    }

    /** Tokens still to be generated. */
    long decode() {
        return decode.get();
    }

    /** Requests that have not ended. */
    int requests() {
        return requests.get();
    }

    /** Adds work, or takes it away when negative. */
    void add(long prefillTokens, long decodeTokens, int count, long nowMs) {
        long p = prefill.addAndGet(prefillTokens);
        long d = decode.addAndGet(decodeTokens);
        int c = requests.addAndGet(count);
        long bucket = nowMs / BUCKET_MS;
        int i = (int) (bucket % BUCKETS);
        past.set(i, pack(p, d, c));
        stamps.set(i, bucket);
    }

    /** Takes generated tokens away. */
    void generated(long tokens) {
        decode.addAndGet(-tokens);
    }

    /** Own work at an earlier time: packed, read it with the static methods; zero when that is not remembered. */
    long at(long timeMs) {
        long bucket = timeMs / BUCKET_MS;
        for (long b = bucket; b > bucket - BUCKETS && b >= 0; b--) {
            int i = (int) (b % BUCKETS);
            if (stamps.get(i) == b) {
                return past.get(i);
            }
        }
        return 0;
    }

    static long prefillOf(long packed) {
        return packed >>> COUNT_BITS & TOKENS_MAX;
    }

    static long decodeOf(long packed) {
        return packed >>> (COUNT_BITS + PREFILL_BITS);
    }

    static int requestsOf(long packed) {
        return (int) (packed & COUNT_MAX);
    }

    private static long pack(long p, long d, int c) {
        return clamp(d, TOKENS_MAX) << (COUNT_BITS + PREFILL_BITS)
                | clamp(p, TOKENS_MAX) << COUNT_BITS
                | clamp(c, COUNT_MAX);
    }

    private static long clamp(long value, long max) {
        return Math.max(0, Math.min(value, max));
    }
}
