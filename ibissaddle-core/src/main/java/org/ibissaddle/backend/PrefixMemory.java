package org.ibissaddle.backend;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import org.ibissaddle.route.Mixing;

/**
 * The prompt parts that a server presumably keeps in its KV cache: what this instance sent there, corrected by what the
 * server says. The least recently used parts go first, as in the engine.
 */
final class PrefixMemory {
    private static final int INITIAL_PARTS = 64;
    private static final float LOAD_FACTOR = 0.75f;

    private final Map<Long, Part> parts = new LinkedHashMap<>(INITIAL_PARTS, LOAD_FACTOR, true);
    private long heldTokens;

    private record Part(int tokens, boolean read) {}

    /** Returns how many tokens at the beginning of a prompt the server keeps, or will when it has read what it got. */
    int cachedTokens(Work work) {
        return tokens(work, false);
    }

    /** Returns how many tokens at the beginning of a prompt the server has read already. */
    int readTokens(Work work) {
        return tokens(work, true);
    }

    /** Notes that a prompt has been sent to the server. */
    void remember(Work work, long capacityTokens) {
        for (PromptPart part : work.prefix()) {
            long key = key(work.model(), part.id());
            Part before = parts.get(key);
            put(key, new Part(part.tokens(), before != null && before.read()));
        }
        Iterator<Part> oldest = parts.values().iterator();
        while (heldTokens > capacityTokens && oldest.hasNext()) {
            heldTokens -= oldest.next().tokens();
            oldest.remove();
        }
    }

    /** Notes that the server has read a prompt. */
    void markRead(Work work) {
        for (PromptPart part : work.prefix()) {
            parts.computeIfPresent(key(work.model(), part.id()), (key, before) -> new Part(before.tokens(), true));
        }
    }

    /** Takes in what the server says; a part that it was sent since, and reads now, stays. */
    void observe(CacheChange change) {
        long key = key(change.model(), change.partId());
        if (change.keptTokens() > 0) {
            put(key, new Part(change.keptTokens(), true));
            return;
        }
        Part before = parts.get(key);
        if (before != null && before.read()) {
            parts.remove(key);
            heldTokens -= before.tokens();
        }
    }

    /** Forgets everything, since the server has restarted. */
    void clear() {
        parts.clear();
        heldTokens = 0;
    }

    private void put(long key, Part part) {
        Part before = parts.put(key, part);
        heldTokens += part.tokens() - (before == null ? 0 : before.tokens());
    }

    private int tokens(Work work, boolean readOnly) {
        int tokens = 0;
        for (PromptPart part : work.prefix()) {
            Part kept = parts.get(key(work.model(), part.id()));
            if (kept == null || (readOnly && !kept.read())) {
                break;
            }
            tokens += Math.min(part.tokens(), kept.tokens());
            if (kept.tokens() < part.tokens()) {
                break;
            }
        }
        return tokens;
    }

    private static long key(String model, String partId) {
        return Mixing.mix(Mixing.mix(model.hashCode()) * 31 + partId.hashCode());
    }
}
