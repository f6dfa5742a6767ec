package org.ibissaddle.order;

/**
 * A fencing token that increases with the data published by the platform: ordered by release note number, then by fleet
 * list revision. Two instances with the same published data derive the same token; an instance with older data derives
 * a lower one.
 *
 * @param value the token, small enough for a JSON number
 */
public record FencingToken(long value) implements Comparable<FencingToken> {
    private static final int REVISION_BITS = 30;
    private static final long MAX_REVISION = (1L << REVISION_BITS) - 1;

    /**
     * Derives the token from published data.
     *
     * @param noteNumber number of the release note in force
     * @param listRevision revision of the fleet list
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
