package org.ibissaddle.standins;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Limits and faults of a platform stand-in. {@code POST /control} replaces the fields that its JSON object names.
 *
 * @param readsPerSecond the read budget; reads beyond it are answered 429
 * @param stalenessMs how old the served configuration is
 * @param pinnedRevision the highest revision that is served; 0 for all
 * @param outage how readers are turned away
 * @param weightBytesPerSecond the rate of all weight downloads together
 */
public record PlatformFaults(
        int readsPerSecond, long stalenessMs, long pinnedRevision, Outage outage, long weightBytesPerSecond) {
    private static final int DEFAULT_READS_PER_SECOND = 2_000;
    private static final long DEFAULT_WEIGHT_BYTES_PER_SECOND = 10_000_000;

    /** How an outage looks to readers. */
    public enum Outage {
        /** There is none. */
        @JsonProperty("none")
        NONE,
        /** Connections are reset without an answer. */
        @JsonProperty("reset")
        RESET,
        /** Calls are answered 503. */
        @JsonProperty("unavailable")
        UNAVAILABLE
    }

    /** A platform without faults, at its usual limits. */
    public static PlatformFaults none() {
        return new PlatformFaults(DEFAULT_READS_PER_SECOND, 0, 0, Outage.NONE, DEFAULT_WEIGHT_BYTES_PER_SECOND);
    }

    /** Returns these faults with another read budget. */
    public PlatformFaults withReadsPerSecond(int value) {
        return new PlatformFaults(value, stalenessMs, pinnedRevision, outage, weightBytesPerSecond);
    }

    /** Returns these faults with configuration of some age. */
    public PlatformFaults withStalenessMs(long value) {
        return new PlatformFaults(readsPerSecond, value, pinnedRevision, outage, weightBytesPerSecond);
    }

    /** Returns these faults with a highest revision. */
    public PlatformFaults withPinnedRevision(long value) {
        return new PlatformFaults(readsPerSecond, stalenessMs, value, outage, weightBytesPerSecond);
    }

    /** Returns these faults with an outage. */
    public PlatformFaults withOutage(Outage value) {
        return new PlatformFaults(readsPerSecond, stalenessMs, pinnedRevision, value, weightBytesPerSecond);
    }

    /** Returns these faults with another rate of weight downloads. */
    public PlatformFaults withWeightBytesPerSecond(long value) {
        return new PlatformFaults(readsPerSecond, stalenessMs, pinnedRevision, outage, value);
    }

    long maxRevision() {
        return pinnedRevision > 0 ? pinnedRevision : Long.MAX_VALUE;
    }
}
