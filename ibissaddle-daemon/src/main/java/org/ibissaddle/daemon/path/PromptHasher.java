package org.ibissaddle.daemon.path;

import java.util.ArrayList;
import java.util.List;

/** Hashes a prompt block by block into a chain, and estimates its tokens. */
final class PromptHasher {
    private static final int BLOCK_CHARS = 256;
    private static final int MAX_BLOCKS = 256;
    private static final int CHARS_PER_TOKEN = 4;
    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private final List<Long> chain = new ArrayList<>();
    private long hash = FNV_OFFSET;
    private long chars;

    /** Adds text of the prompt. */
    void add(char[] text, int offset, int length) {
        for (int i = offset; i < offset + length; i++) {
            hash = (hash ^ text[i]) * FNV_PRIME;
            chars++;
            if (chars % BLOCK_CHARS == 0 && chain.size() < MAX_BLOCKS) {
                chain.add(hash);
            }
        }
    }

    /** Returns the chain; each element depends on all text before it. */
    List<Long> chain() {
        return chain;
    }

    /** Returns the estimated number of tokens, at least 1. */
    int tokens() {
        return (int) Math.min(Integer.MAX_VALUE, Math.max(1, chars / CHARS_PER_TOKEN));
    }
}
