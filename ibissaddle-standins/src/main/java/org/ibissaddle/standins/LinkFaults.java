package org.ibissaddle.standins;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Faults injected into a link of the proxy.
 *
 * @param delayMs the delay in each direction, in milliseconds
 * @param bytesPerSecond the bandwidth in each direction, shared by all connections of the link; 0 for no limit
 * @param cut the blocked direction; connections stay open and buffered bytes are delivered once the cut is removed
 * @param refuse whether open connections and new ones are reset
 * @param resetAfterBytes resets a connection after this many bytes sent to the client; 0 disables
 * @param duplicateConnection whether the requests of a new connection are duplicated on a second server connection
 */
public record LinkFaults(
        long delayMs, long bytesPerSecond, Cut cut, boolean refuse, long resetAfterBytes, boolean duplicateConnection) {

    /** The blocked direction. */
    public enum Cut {
        /** No direction. */
        @JsonProperty("none")
        NONE,
        /** Both directions. */
        @JsonProperty("both")
        BOTH,
        /** From the client to the server. */
        @JsonProperty("to-server")
        TO_SERVER,
        /** From the server to the client. */
        @JsonProperty("to-client")
        TO_CLIENT;

        /** Returns whether the direction to the server is blocked. */
        public boolean cutsToServer() {
            return this == BOTH || this == TO_SERVER;
        }

        /** Returns whether the direction to the client is blocked. */
        public boolean cutsToClient() {
            return this == BOTH || this == TO_CLIENT;
        }
    }

    /** Returns a configuration without faults. */
    public static LinkFaults none() {
        return new LinkFaults(0, 0, Cut.NONE, false, 0, false);
    }

    /** Returns a copy with another delay. */
    public LinkFaults withDelayMs(long value) {
        return new LinkFaults(value, bytesPerSecond, cut, refuse, resetAfterBytes, duplicateConnection);
    }

    /** Returns a copy with another bandwidth. */
    public LinkFaults withBytesPerSecond(long value) {
        return new LinkFaults(delayMs, value, cut, refuse, resetAfterBytes, duplicateConnection);
    }

    /** Returns a copy with another blocked direction. */
    public LinkFaults withCut(Cut value) {
        return new LinkFaults(delayMs, bytesPerSecond, value, refuse, resetAfterBytes, duplicateConnection);
    }

    /** Returns a copy that refuses connections or accepts them. */
    public LinkFaults withRefuse(boolean value) {
        return new LinkFaults(delayMs, bytesPerSecond, cut, value, resetAfterBytes, duplicateConnection);
    }

    /** Returns a copy with a reset after a number of bytes. */
    public LinkFaults withResetAfterBytes(long value) {
        return new LinkFaults(delayMs, bytesPerSecond, cut, refuse, value, duplicateConnection);
    }

    /** Returns a copy with connection duplication enabled or disabled. */
    public LinkFaults withDuplicateConnection(boolean value) {
        return new LinkFaults(delayMs, bytesPerSecond, cut, refuse, resetAfterBytes, value);
    }
}
