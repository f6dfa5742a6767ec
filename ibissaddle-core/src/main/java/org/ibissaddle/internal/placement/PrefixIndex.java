package org.ibissaddle.internal.placement;

import java.util.List;
import java.util.concurrent.atomic.AtomicLongArray;

/**
 * Set-associative, lock-free index of the prefix blocks that servers recently received, bounded by its table size. The
 * index is only a hint: the oldest entry of a set is overwritten first, and a missing or false entry costs time but
 * never correctness. Entries expire when the server has stored more blocks since than its cache was observed to hold.
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

    /** Records that a server received a chain of blocks. */
    void add(List<Long> chain, ServerState server) {
        server.addInsertedBlocks(chain.size() - match(chain, server));
        for (int i = 0; i < chain.size(); i++) {
            add(chain.get(i), server);
        }
    }

    /** Records that a server holds a block. */
    void add(long block, ServerState server) {
        long hash = mix(block);
        int start = setStart(hash);
        long entry = entry(hash, server.number, tick(server));
        int oldest = start;
        long oldestAge = -1;
        for (int i = start; i < start + WAYS; i++) {
            long existing = table.get(i);
            if (existing == 0 || sameKey(existing, entry)) {
                table.set(i, entry);
                return;
            }
            long age = (entry - existing) & TIME_MASK;
            if (age > oldestAge) {
                oldestAge = age;
                oldest = i;
            }
        }
        table.set(oldest, entry);
    }

    /**
     * Removes a block that a server evicted, and updates the estimate of the server's cache size from the block's age.
     */
    void remove(long block, ServerState server) {
        long hash = mix(block);
        int start = setStart(hash);
        long key = entry(hash, server.number, 0);
        for (int i = start; i < start + WAYS; i++) {
            long existing = table.get(i);
            if (existing != 0 && sameKey(existing, key)) {
                server.recordEviction(age(existing, server));
                table.compareAndSet(i, existing, 0);
            }
        }
    }

    /** Returns the estimated number of leading blocks of a chain that a server holds. */
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
     * Finds the servers that are likely to hold the longest prefix of a chain.
     *
     * @param chain chain of blocks
     * @param servers receives the numbers of the servers
     * @return number of servers found
     */
    int holders(List<Long> chain, int[] servers) {
        if (chain.isEmpty() || blockHolders(chain.getFirst(), servers) == 0) {
            return 0;
        }
        int low = 1;
        int high = chain.size();
        while (low < high) {
            int mid = (low + high) >>> 1;
            if (blockHolders(chain.get(mid), servers) > 0) {
                low = mid + 1;
            } else {
                high = mid;
            }
        }
        return blockHolders(chain.get(low - 1), servers);
    }

    private int blockHolders(long block, int[] servers) {
        long hash = mix(block);
        int start = setStart(hash);
        long tag = hash >>> (SERVER_BITS + TIME_BITS);
        int n = 0;
        for (int i = start; i < start + WAYS && n < servers.length; i++) {
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
        int start = setStart(hash);
        long key = entry(hash, server.number, 0);
        for (int i = start; i < start + WAYS; i++) {
            long existing = table.get(i);
            if (existing != 0 && sameKey(existing, key)) {
                return age(existing, server) < server.cacheBlocks();
            }
        }
        return false;
    }

    private int setStart(long hash) {
        return (int) (hash & sets - 1) * WAYS;
    }

    private static boolean sameKey(long a, long b) {
        return a >>> TIME_BITS == b >>> TIME_BITS;
    }

    /** Number of blocks that a server has stored since an entry was last written. */
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

    /** Mixes the bits of a hash. */
    static long mix(long x) {
        long z = (x ^ (x >>> 30)) * 0xbf58476d1ce4e5b9L;
        z = (z ^ (z >>> 27)) * 0x94d049bb133111ebL;
        return z ^ (z >>> 31);
    }
}
