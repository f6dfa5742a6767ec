package org.ibissaddle.internal.placement;

import java.util.List;
import java.util.concurrent.atomic.AtomicLongArray;

/**
 * Remembers in bounded memory which servers were lately given which prefix blocks. Only a hint: entries are overwritten
 * oldest first within their set of ways, and a lost or false one costs time, never correctness.
 */
final class PrefixIndex {
    private static final int WAYS = 8;
    private static final int SERVER_BITS = 14;
    private static final int TIME_BITS = 16;
    private static final long SERVER_MASK = (1L << SERVER_BITS) - 1;
    private static final long TIME_MASK = (1L << TIME_BITS) - 1;
    private static final int BLOCKS_PER_TICK = 4;

    private final AtomicLongArray table;
    private final int sets;

    PrefixIndex(int slots) {
        table = new AtomicLongArray(slots);
        sets = slots / WAYS;
    }

    /** Notes that a server was given a chain of blocks. */
    void add(List<Long> chain, ServerState server) {
        server.inserted(chain.size() - match(chain, server));
        for (int i = 0; i < chain.size(); i++) {
            add(chain.get(i), server);
        }
    }

    /** Notes that a server holds a block. */
    void add(long block, ServerState server) {
        long hash = mix(block);
        int base = base(hash);
        long entry = entry(hash, server.number, tick(server));
        int oldest = base;
        long oldestAge = -1;
        for (int i = base; i < base + WAYS; i++) {
            long old = table.get(i);
            if (old == 0 || sameKey(old, entry)) {
                table.set(i, entry);
                return;
            }
            long age = (entry - old) & TIME_MASK;
            if (age > oldestAge) {
                oldestAge = age;
                oldest = i;
            }
        }
        table.set(oldest, entry);
    }

    /** Takes in that a server has evicted a block, and learns from it how much its cache holds. */
    void evicted(long block, ServerState server) {
        long hash = mix(block);
        int base = base(hash);
        long key = entry(hash, server.number, 0);
        for (int i = base; i < base + WAYS; i++) {
            long old = table.get(i);
            if (old != 0 && sameKey(old, key)) {
                server.evictedAfter(age(old, server));
                table.compareAndSet(i, old, 0);
            }
        }
    }

    /** Counts the leading blocks of a chain that a server is believed to hold. */
    int match(List<Long> chain, ServerState server) {
        if (chain.isEmpty() || !holds(chain.getFirst(), server)) {
            return 0;
        }
        int low = 1;
        int high = chain.size();
        while (low < high) {
            int mid = (low + high) >>> 1;
            if (holds(chain.get(mid), server)) {
                low = mid + 1;
            } else {
                high = mid;
            }
        }
        return low;
    }

    /**
     * Finds the servers that are believed to hold the longest part of a chain.
     *
     * @param chain the chain
     * @param servers receives their numbers
     * @return how many were found
     */
    int holders(List<Long> chain, int[] servers) {
        if (chain.isEmpty() || holders(chain.getFirst(), servers) == 0) {
            return 0;
        }
        int low = 1;
        int high = chain.size();
        while (low < high) {
            int mid = (low + high) >>> 1;
            if (holders(chain.get(mid), servers) > 0) {
                low = mid + 1;
            } else {
                high = mid;
            }
        }
        return holders(chain.get(low - 1), servers);
    }

    private int holders(long block, int[] servers) {
        long hash = mix(block);
        int base = base(hash);
        long tag = hash >>> (SERVER_BITS + TIME_BITS);
        int n = 0;
        for (int i = base; i < base + WAYS && n < servers.length; i++) {
            long entry = table.get(i);
            if (entry != 0 && entry >>> (SERVER_BITS + TIME_BITS) == tag) {
                servers[n] = (int) (entry >>> TIME_BITS & SERVER_MASK);
                n++;
            }
        }
        return n;
    }

    private boolean holds(long block, ServerState server) {
        long hash = mix(block);
        int base = base(hash);
        long key = entry(hash, server.number, 0);
        for (int i = base; i < base + WAYS; i++) {
            long old = table.get(i);
            if (old != 0 && sameKey(old, key)) {
                return age(old, server) < server.cacheBlocks();
            }
        }
        return false;
    }

    private int base(long hash) {
        return (int) (hash & sets - 1) * WAYS;
    }

    private static boolean sameKey(long a, long b) {
        return a >>> TIME_BITS == b >>> TIME_BITS;
    }

    /** Blocks that a server has stored since an entry was made or used. */
    private static long age(long entry, ServerState server) {
        return ((tick(server) - entry) & TIME_MASK) * BLOCKS_PER_TICK;
    }

    private static long tick(ServerState server) {
        return server.insertedBlocks() / BLOCKS_PER_TICK;
    }

    private static long entry(long hash, int server, long tick) {
        long tag = hash >>> (SERVER_BITS + TIME_BITS);
        return tag << (SERVER_BITS + TIME_BITS) | (server & SERVER_MASK) << TIME_BITS | (tick & TIME_MASK);
    }

    /** Spreads the bits of a hash. */
    static long mix(long x) {
        long z = (x ^ (x >>> 30)) * 0xbf58476d1ce4e5b9L;
        z = (z ^ (z >>> 27)) * 0x94d049bb133111ebL;
        return z ^ (z >>> 31);
    }
}
