package org.ibissaddle.internal.placement;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicLongArray;

/**
 * Work that this instance has outstanding at one server. A history of {@link #BUCKETS} buckets of {@link #BUCKET_MS} is
 * kept so that a delayed load report can be compared with the work outstanding when it was measured.
 */
final class OutstandingWork {
    private static final int BUCKETS = 128;
    private static final long BUCKET_MS = 50;
    private static final int REQUEST_BITS = 12;
    private static final int PREFILL_BITS = 26;
    private static final long MAX_REQUESTS = (1L << REQUEST_BITS) - 1;
    private static final long MAX_TOKENS = (1L << PREFILL_BITS) - 1;

    private final AtomicLong prefillTokens = new AtomicLong();
    private final AtomicLong decodeTokens = new AtomicLong();
    private final AtomicInteger requests = new AtomicInteger();
    private final AtomicLongArray historyBuckets = new AtomicLongArray(BUCKETS);
    private final AtomicLongArray history = new AtomicLongArray(BUCKETS);

    /** Uncached prompt tokens of requests that have not produced their first token. */
    long prefillTokens() {
        return prefillTokens.get();
    }

    /** Expected output tokens that are still to be generated. */
    long decodeTokens() {
        return decodeTokens.get();
    }

    /** Number of requests that have not ended. */
    int requests() {
        return requests.get();
    }

    /** Adds work; negative values remove it. */
    void add(long addedPrefill, long addedDecode, int addedRequests, long nowMs) {
        long p = prefillTokens.addAndGet(addedPrefill);
        long d = decodeTokens.addAndGet(addedDecode);
        int c = requests.addAndGet(addedRequests);
        long bucket = nowMs / BUCKET_MS;
        int i = (int) (bucket % BUCKETS);
        history.set(i, pack(p, d, c));
        historyBuckets.set(i, bucket);
    }

    /** Subtracts generated tokens. */
    void generated(long tokens) {
        decodeTokens.addAndGet(-tokens);
    }

    /**
     * Returns the outstanding work at an earlier time as a packed value for the {@code unpack} methods; zero when the
     * history has no entry for that time.
     */
    long packedAt(long timeMs) {
        long bucket = timeMs / BUCKET_MS;
        for (long b = bucket; b > bucket - BUCKETS && b >= 0; b--) {
            int i = (int) (b % BUCKETS);
            if (historyBuckets.get(i) == b) {
                return history.get(i);
            }
        }
        return 0;
    }

    static long unpackPrefillTokens(long packed) {
        return packed >>> REQUEST_BITS & MAX_TOKENS;
    }

    static long unpackDecodeTokens(long packed) {
        return packed >>> (REQUEST_BITS + PREFILL_BITS);
    }

    static int unpackRequests(long packed) {
        return (int) (packed & MAX_REQUESTS);
    }

    private static long pack(long p, long d, int c) {
        return clamp(d, MAX_TOKENS) << (REQUEST_BITS + PREFILL_BITS)
                | clamp(p, MAX_TOKENS) << REQUEST_BITS
                | clamp(c, MAX_REQUESTS);
    }

    private static long clamp(long value, long max) {
        return Math.max(0, Math.min(value, max));
    }
}
