package org.ibissaddle.daemon.path;

import java.util.ArrayList;
import java.util.List;

/** Computes chained hashes of a prompt's blocks and estimates its number of tokens. */
final class PromptHasher {
    private static final int BLOCK_CHARS = 256;
    private static final int MAX_BLOCKS = 256;
    private static final int CHARS_PER_TOKEN = 4;
    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private final List<Long> blockHashes = new ArrayList<>();
    private long hash = FNV_OFFSET;
    private long charCount;

    /** Appends characters of the prompt. */
    void update(char[] text, int offset, int length) {
        for (int i = offset; i < offset + length; i++) {
            hash = (hash ^ text[i]) * FNV_PRIME;
            charCount++;
            if (charCount % BLOCK_CHARS == 0 && blockHashes.size() < MAX_BLOCKS) {
                blockHashes.add(hash);
            }
        }
    }

    /**
     * Returns the hashes of all full blocks up to the maximum; each one covers the prompt up to the end of its block.
     */
    List<Long> blockHashes() {
        return blockHashes;
    }

    /** Returns the estimated number of tokens, which is at least 1. */
    int estimatedTokens() {
        return (int) Math.min(Integer.MAX_VALUE, Math.max(1, charCount / CHARS_PER_TOKEN));
    }
}
