package org.ibissaddle.standins;

import java.util.SplittableRandom;
import java.util.StringJoiner;

/** Generates the answers of the engine stand-ins, deterministically from model and prompt. */
public final class ResponseText {
    /** The number of words in an answer if the request sets no limit. */
    public static final int DEFAULT_WORDS = 64;

    private static final String[] SYLLABLES = {
        "ka", "ri", "to", "mel", "sha", "no", "vu", "dör", "žil", "ба", "сайн", "köš", "lin", "pe", "ᠮᠣ", "枕木", "🧸",
        "ge"
    };
    private static final int MAX_SYLLABLES = 3;

    private ResponseText() {}

    /**
     * Returns the whole answer. For the same model and prompt, a shorter answer is a prefix of a longer one.
     *
     * @param maxTokens the number of words; {@link #DEFAULT_WORDS} if not positive
     */
    public static String textFor(String model, String prompt, int maxTokens) {
        SplittableRandom random = new SplittableRandom(PromptBlocks.hash(PromptBlocks.hash(0, model), prompt));
        int words = maxTokens > 0 ? maxTokens : DEFAULT_WORDS;
        StringJoiner text = new StringJoiner(" ");
        for (int i = 0; i < words; i++) {
            text.add(word(random));
        }
        return text.toString();
    }

    private static String word(SplittableRandom random) {
        int syllables = 1 + random.nextInt(MAX_SYLLABLES);
        StringBuilder word = new StringBuilder();
        for (int i = 0; i < syllables; i++) {
            word.append(SYLLABLES[random.nextInt(SYLLABLES.length)]);
        }
        return word.toString();
    }
}
