package org.ibissaddle.id;

/**
 * Identifies one run of an instance or backend server process. A restarted process has a greater incarnation.
 *
 * @param startedAtMs start time of the process, epoch milliseconds
 * @param nonce random number that distinguishes processes started in the same millisecond
 */
public record Incarnation(long startedAtMs, long nonce) implements Comparable<Incarnation> {
    /**
     * Parses the format produced by {@link #toString()}.
     *
     * @param text the text to parse
     * @return the incarnation
     * @throws InvalidIdentifierException if the text does not have that format
     */
    public static Incarnation parse(String text) {
        int dash = text.indexOf('-');
        if (dash <= 0) {
            throw new InvalidIdentifierException("incarnation", text);
        }
        try {
            long startedAtMs = Long.parseLong(text, 0, dash, Character.MAX_RADIX);
            long nonce = Long.parseUnsignedLong(text, dash + 1, text.length(), Character.MAX_RADIX);
            return new Incarnation(startedAtMs, nonce);
        } catch (NumberFormatException e) {
            throw new InvalidIdentifierException("incarnation", text);
        }
    }

    @Override
    public int compareTo(Incarnation other) {
        int order = Long.compare(startedAtMs, other.startedAtMs);
        return order != 0 ? order : Long.compareUnsigned(nonce, other.nonce);
    }

    @Override
    public String toString() {
        return Long.toString(startedAtMs, Character.MAX_RADIX)
                + "-"
                + Long.toUnsignedString(nonce, Character.MAX_RADIX);
    }
}
