package org.ibissaddle.order;

/**
 * A number that grows with what the platform publishes: the note first, then the list. Two givers with the same
 * published data have the same token, and the giver with the older data has the lower one.
 *
 * @param value the token; fits a JSON number
 */
public record FencingToken(long value) implements Comparable<FencingToken> {
    private static final int REVISION_BITS = 30;
    private static final long MAX_REVISION = (1L << REVISION_BITS) - 1;

    /**
     * Derives the token of published data.
     *
     * @param noteNumber number of the note in force
     * @param listRevision revision of the list
     * @return the token
     */
    public static FencingToken of(long noteNumber, long listRevision) {
        return new FencingToken((noteNumber << REVISION_BITS) | Math.min(MAX_REVISION, Math.max(0, listRevision)));
    }

    @Override
    public int compareTo(FencingToken other) {
        return Long.compare(value, other.value);
    }
}
