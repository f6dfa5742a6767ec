package org.ibissaddle.standins.internal.engine;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.ibissaddle.standins.PromptBlocks;

/** Bounded LRU cache of prompt blocks; each block is linked to the block before it in the prompt. */
public final class PrefixCache {
    /** Receives the changes of the cache. */
    public interface Listener {
        /** Called after a block was stored or evicted. */
        void changed(CacheEvent.Kind kind, String block);
    }

    private static final String ROOT = "";

    private final Map<String, String> parents = new LinkedHashMap<>(16, 0.75f, true);
    private final int capacity;
    private final Listener listener;

    /**
     * Creates an empty cache.
     *
     * @param capacity the maximum number of blocks
     */
    public PrefixCache(int capacity, Listener listener) {
        this.capacity = capacity;
        this.listener = listener;
    }

    /** Returns the number of leading blocks that are cached and marks them as recently used. */
    public int match(List<String> blocks) {
        int matched = 0;
        while (matched < blocks.size() && parents.get(blocks.get(matched)) != null) {
            matched++;
        }
        return matched;
    }

    /** Stores a chain of blocks, ordered so that its last block is evicted before the others. */
    public void store(List<String> blocks) {
        String parent = ROOT;
        for (String block : blocks) {
            if (parents.put(block, parent) == null) {
                listener.changed(CacheEvent.Kind.STORED, block);
            }
            parent = block;
        }
        for (String block : blocks.reversed()) {
            var unused = parents.get(block);
        }
        evictOverflow();
    }

    /** Returns the chain that ends with a block, or empty unless all its blocks are cached. */
    public Optional<List<String>> chain(String last) {
        List<String> chain = new ArrayList<>();
        String block = last;
        while (!block.equals(ROOT)) {
            String parent = parents.get(block);
            if (parent == null) {
                return Optional.empty();
            }
            chain.add(block);
            block = parent;
        }
        Collections.reverse(chain);
        return Optional.of(chain);
    }

    /** Returns the number of cached tokens. */
    public int tokens() {
        return parents.size() * PromptBlocks.BLOCK_TOKENS;
    }

    private void evictOverflow() {
        while (parents.size() > capacity) {
            String leastRecentlyUsed = parents.keySet().iterator().next();
            parents.remove(leastRecentlyUsed);
            listener.changed(CacheEvent.Kind.EVICTED, leastRecentlyUsed);
        }
    }
}
