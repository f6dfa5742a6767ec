package org.ibissaddle.backend;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import org.ibissaddle.route.HashMixer;

/**
 * Estimates which prompt parts are in the KV cache of a server, from the prompts that this instance sent and the cache
 * events that the server reports. Evicts the least recently used parts first, as the engine does.
 */
final class PrefixCacheEstimate {
    private static final int INITIAL_PARTS = 64;
    private static final float LOAD_FACTOR = 0.75f;

    private final Map<Long, CachedPart> parts = new LinkedHashMap<>(INITIAL_PARTS, LOAD_FACTOR, true);
    private long totalTokens;

    private record CachedPart(int tokens, boolean prefilled) {}

    /**
     * Returns the length of the prompt prefix that is cached, or will be once the prompts already sent are prefilled.
     */
    int cachedTokens(RequestDemand demand) {
        return tokens(demand, false);
    }

    /** Returns the length of the prompt prefix that is already prefilled. */
    int prefilledTokens(RequestDemand demand) {
        return tokens(demand, true);
    }

    /** Adds the parts of a prompt that was sent to the server and evicts parts beyond the capacity. */
    void recordSent(RequestDemand demand, long capacityTokens) {
        for (PromptPart part : demand.promptParts()) {
            long key = key(demand.model(), part.id());
            CachedPart previous = parts.get(key);
            put(key, new CachedPart(part.tokens(), previous != null && previous.prefilled()));
        }
        Iterator<CachedPart> oldest = parts.values().iterator();
        while (totalTokens > capacityTokens && oldest.hasNext()) {
            totalTokens -= oldest.next().tokens();
            oldest.remove();
        }
    }

    /** Marks the parts of a prompt as prefilled. */
    void markPrefilled(RequestDemand demand) {
        for (PromptPart part : demand.promptParts()) {
            parts.computeIfPresent(
                    key(demand.model(), part.id()), (key, previous) -> new CachedPart(previous.tokens(), true));
        }
    }

    /**
     * Applies a cache event of the server. An eviction does not remove a part that is still being prefilled: the event
     * is assumed to predate the request that sent the part again.
     */
    void applyReport(KvCacheEvent change) {
        long key = key(change.model(), change.partId());
        if (change.keptTokens() > 0) {
            put(key, new CachedPart(change.keptTokens(), true));
            return;
        }
        CachedPart previous = parts.get(key);
        if (previous != null && previous.prefilled()) {
            parts.remove(key);
            totalTokens -= previous.tokens();
        }
    }

    /** Removes all parts after a restart of the server. */
    void clear() {
        parts.clear();
        totalTokens = 0;
    }

    private void put(long key, CachedPart part) {
        CachedPart previous = parts.put(key, part);
        totalTokens += part.tokens() - (previous == null ? 0 : previous.tokens());
    }

    private int tokens(RequestDemand demand, boolean prefilledOnly) {
        int tokens = 0;
        for (PromptPart part : demand.promptParts()) {
            CachedPart cached = parts.get(key(demand.model(), part.id()));
            if (cached == null || (prefilledOnly && !cached.prefilled())) {
                break;
            }
            tokens += Math.min(part.tokens(), cached.tokens());
            if (cached.tokens() < part.tokens()) {
                break;
            }
        }
        return tokens;
    }

    private static long key(String model, String partId) {
        return HashMixer.mix(HashMixer.mix(model.hashCode()) * 31 + partId.hashCode());
    }
}
