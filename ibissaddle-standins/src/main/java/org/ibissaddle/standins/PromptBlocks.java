package org.ibissaddle.standins;

import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;

/** Splits a prompt into the blocks stored in the prefix cache of an engine stand-in. */
public final class PromptBlocks {
    /** The size of a block in UTF-16 code units; only full blocks are cached. */
    public static final int BLOCK_CHARS = 64;
    /** The average size of a token in UTF-16 code units. */
    public static final int CHARS_PER_TOKEN = 4;
    /** The number of tokens in a block. */
    public static final int BLOCK_TOKENS = BLOCK_CHARS / CHARS_PER_TOKEN;

    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private PromptBlocks() {}

    /** Returns the ids of the full blocks; each id identifies a block together with all preceding blocks. */
    public static List<String> of(String model, String prompt) {
        List<String> ids = new ArrayList<>();
        long chain = hash(0, model);
        for (int end = BLOCK_CHARS; end <= prompt.length(); end += BLOCK_CHARS) {
            chain = hash(chain, prompt.substring(end - BLOCK_CHARS, end));
            ids.add(HexFormat.of().toHexDigits(chain));
        }
        return ids;
    }

    /** Returns the approximate number of tokens in a text. */
    public static int tokens(String text) {
        return Math.ceilDiv(text.length(), CHARS_PER_TOKEN);
    }

    /** Returns the FNV-1a hash of a text, seeded with the preceding hash of the chain. */
    static long hash(long chain, String text) {
        long hash = FNV_OFFSET ^ chain;
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * FNV_PRIME;
        }
        return hash ^ (hash >>> 32);
    }
}
