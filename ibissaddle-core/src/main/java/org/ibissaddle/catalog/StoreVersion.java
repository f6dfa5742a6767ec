package org.ibissaddle.catalog;

import java.util.Comparator;

/**
 * Version of the state of the platform's store. Revisions rise within an era. A store that comes back from an older
 * copy begins a new era, in which it gives out revisions of the era before again; so only the pair orders two states.
 *
 * @param era the era; 0 if the store names none
 * @param revision the revision within the era; 0 before its first change
 */
public record StoreVersion(long era, long revision) implements Comparable<StoreVersion> {
    /** Version before the store was read. */
    public static final StoreVersion NONE = new StoreVersion(0, 0);
    /** Version after all others. */
    public static final StoreVersion MAX = new StoreVersion(Long.MAX_VALUE, Long.MAX_VALUE);

    private static final Comparator<StoreVersion> ORDER =
            Comparator.comparingLong(StoreVersion::era).thenComparingLong(StoreVersion::revision);

    /**
     * Returns the later one of two versions.
     *
     * @param first a version
     * @param second another version
     * @return the later one
     */
    public static StoreVersion max(StoreVersion first, StoreVersion second) {
        return first.isAfter(second) ? first : second;
    }

    /**
     * Returns the earlier one of two versions.
     *
     * @param first a version
     * @param second another version
     * @return the earlier one
     */
    public static StoreVersion min(StoreVersion first, StoreVersion second) {
        return first.isAfter(second) ? second : first;
    }

    /**
     * Returns whether this version is later than another.
     *
     * @param other the other version
     * @return true if its era is later, or its revision within the same era
     */
    public boolean isAfter(StoreVersion other) {
        return compareTo(other) > 0;
    }

    /**
     * Returns the version before the latest change of this one.
     *
     * @return a version of the same era
     */
    public StoreVersion previous() {
        return new StoreVersion(era, revision - 1);
    }

    @Override
    public int compareTo(StoreVersion other) {
        return ORDER.compare(this, other);
    }

    /** Returns the revision, preceded by the era if the store names one, such as {@code 2/118}. */
    @Override
    public String toString() {
        return era == 0 ? Long.toString(revision) : era + "/" + revision;
    }
}
