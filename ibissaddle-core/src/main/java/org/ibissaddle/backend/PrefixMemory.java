package org.ibissaddle.backend;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import org.ibissaddle.route.Mixing;

/**
 * The prompt parts that a server presumably keeps in its KV cache, judged by what this instance sent there. The least
 * recently used parts go first, as in the engine.
 */
final class PrefixMemory {
    private final Map<Long, Part> partsByChain = new LinkedHashMap<>(64, 0.75f, true);
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
        long chain = start(work);
        for (PromptPart part : work.prefix()) {
            chain = extend(chain, part);
            Part before = partsByChain.get(chain);
            partsByChain.put(chain, new Part(part.tokens(), before != null && before.read()));
            heldTokens += part.tokens() - (before == null ? 0 : before.tokens());
        }
        Iterator<Map.Entry<Long, Part>> oldest = partsByChain.entrySet().iterator();
        while (heldTokens > capacityTokens && oldest.hasNext()) {
            heldTokens -= oldest.next().getValue().tokens();
            oldest.remove();
        }
    }

    /** Notes that the server has read a prompt. */
    void markRead(Work work) {
        long chain = start(work);
        for (PromptPart part : work.prefix()) {
            chain = extend(chain, part);
            partsByChain.computeIfPresent(chain, (key, before) -> new Part(before.tokens(), true));
        }
    }

    /** Forgets everything, since the server has restarted. */
    void clear() {
        partsByChain.clear();
        heldTokens = 0;
    }

    private int tokens(Work work, boolean readOnly) {
        int tokens = 0;
        long chain = start(work);
        for (PromptPart part : work.prefix()) {
            chain = extend(chain, part);
            Part kept = partsByChain.get(chain);
            if (kept == null || (readOnly && !kept.read())) {
                break;
            }
            tokens += part.tokens();
        }
        return tokens;
    }

    private static long start(Work work) {
        return Mixing.mix(work.model().hashCode());
    }

    private static long extend(long chain, PromptPart part) {
        return Mixing.mix(chain * 31 + part.id().hashCode());
    }
}
