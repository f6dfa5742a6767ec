package org.ibissaddle.outcome;

import java.util.Optional;

/** Whether a request ran, as told to its caller. */
public enum Fate {
    /** It is proven that no backend server ran it and none will. */
    NOT_RUN("not-run"),
    /** It may have run, or may still run. */
    UNKNOWN("unknown"),
    /** It ran. */
    RAN("ran");

    private final String word;

    Fate(String word) {
        this.word = word;
    }

    /**
     * Returns the word used in headers and JSON.
     *
     * @return {@code not-run}, {@code unknown} or {@code ran}
     */
    public String word() {
        return word;
    }

    /**
     * Finds the fate for a word.
     *
     * @param word the word as received, possibly null
     * @return the fate, empty when the word is none of the three
     */
    public static Optional<Fate> of(String word) {
        for (Fate fate : values()) {
            if (fate.word.equals(word)) {
                return Optional.of(fate);
            }
        }
        return Optional.empty();
    }
}
