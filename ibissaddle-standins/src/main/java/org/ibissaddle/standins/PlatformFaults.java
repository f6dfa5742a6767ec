package org.ibissaddle.standins;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Limits and injected faults of a platform stand-in. {@code POST /control} replaces the fields given in its JSON
 * object.
 *
 * @param readsPerSecond the read budget; reads beyond it are rejected with status 429
 * @param stalenessMs the age of the served configuration
 * @param pinnedRevision the highest revision that is served; 0 for no limit
 * @param outage the simulated outage
 * @param weightBytesPerSecond the rate limit shared by all weight downloads
 */
public record PlatformFaults(
        int readsPerSecond, long stalenessMs, long pinnedRevision, Outage outage, long weightBytesPerSecond) {
    private static final int DEFAULT_READS_PER_SECOND = 2_000;
    private static final long DEFAULT_WEIGHT_BYTES_PER_SECOND = 10_000_000;

    /** The kinds of simulated outages. */
    public enum Outage {
        /** No outage. */
        @JsonProperty("none")
        NONE,
        /** Connections are reset without a response. */
        @JsonProperty("reset")
        RESET,
        /** Requests are rejected with status 503. */
        @JsonProperty("unavailable")
        UNAVAILABLE
    }

    /** Returns a configuration without faults and with the default limits. */
    public static PlatformFaults none() {
        return new PlatformFaults(DEFAULT_READS_PER_SECOND, 0, 0, Outage.NONE, DEFAULT_WEIGHT_BYTES_PER_SECOND);
    }

    /** Returns a copy with another read budget. */
    public PlatformFaults withReadsPerSecond(int value) {
        return new PlatformFaults(value, stalenessMs, pinnedRevision, outage, weightBytesPerSecond);
    }

    /** Returns a copy with stale configuration. */
    public PlatformFaults withStalenessMs(long value) {
        return new PlatformFaults(readsPerSecond, value, pinnedRevision, outage, weightBytesPerSecond);
    }

    /** Returns a copy with another highest served revision. */
    public PlatformFaults withPinnedRevision(long value) {
        return new PlatformFaults(readsPerSecond, stalenessMs, value, outage, weightBytesPerSecond);
    }

    /** Returns a copy with another kind of outage. */
    public PlatformFaults withOutage(Outage value) {
        return new PlatformFaults(readsPerSecond, stalenessMs, pinnedRevision, value, weightBytesPerSecond);
    }

    /** Returns a copy with another rate limit of weight downloads. */
    public PlatformFaults withWeightBytesPerSecond(long value) {
        return new PlatformFaults(readsPerSecond, stalenessMs, pinnedRevision, outage, value);
    }

    long maxRevision() {
        return pinnedRevision > 0 ? pinnedRevision : Long.MAX_VALUE;
    }
}
