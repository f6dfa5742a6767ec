package org.ibissaddle.standins;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Faults of a link through the proxy.
 *
 * @param delayMs how long bytes travel each way, in milliseconds
 * @param bytesPerSecond the bandwidth each way, shared by all connections of the link; 0 for no limit
 * @param cut the direction that carries nothing, while connections stay open; waiting bytes arrive after the cut
 * @param refuse whether new connections are closed and existing ones reset
 * @param resetAfterBytes after how many bytes to the client a connection is reset; 0 for never
 * @param duplicateConnection whether the requests of a new connection also go over a second connection to the server
 */
public record LinkFaults(
        long delayMs, long bytesPerSecond, Cut cut, boolean refuse, long resetAfterBytes, boolean duplicateConnection) {

    /** The direction that is cut. */
    public enum Cut {
        /** Neither. */
        @JsonProperty("none")
        NONE,
        /** Both ways. */
        @JsonProperty("both")
        BOTH,
        /** From the client to the server. */
        @JsonProperty("to-server")
        TO_SERVER,
        /** From the server to the client. */
        @JsonProperty("to-client")
        TO_CLIENT;

        /** Whether nothing reaches the server. */
        public boolean cutsToServer() {
            return this == BOTH || this == TO_SERVER;
        }

        /** Whether nothing reaches the client. */
        public boolean cutsToClient() {
            return this == BOTH || this == TO_CLIENT;
        }
    }

    /** A link without faults. */
    public static LinkFaults none() {
        return new LinkFaults(0, 0, Cut.NONE, false, 0, false);
    }

    /** Returns these faults with another delay. */
    public LinkFaults withDelayMs(long value) {
        return new LinkFaults(value, bytesPerSecond, cut, refuse, resetAfterBytes, duplicateConnection);
    }

    /** Returns these faults with another bandwidth. */
    public LinkFaults withBytesPerSecond(long value) {
        return new LinkFaults(delayMs, value, cut, refuse, resetAfterBytes, duplicateConnection);
    }

    /** Returns these faults with a cut. */
    public LinkFaults withCut(Cut value) {
        return new LinkFaults(delayMs, bytesPerSecond, value, refuse, resetAfterBytes, duplicateConnection);
    }

    /** Returns these faults with connections refused or not. */
    public LinkFaults withRefuse(boolean value) {
        return new LinkFaults(delayMs, bytesPerSecond, cut, value, resetAfterBytes, duplicateConnection);
    }

    /** Returns these faults with a reset after a number of bytes. */
    public LinkFaults withResetAfterBytes(long value) {
        return new LinkFaults(delayMs, bytesPerSecond, cut, refuse, value, duplicateConnection);
    }

    /** Returns these faults with duplicated connections or not. */
    public LinkFaults withDuplicateConnection(boolean value) {
        return new LinkFaults(delayMs, bytesPerSecond, cut, refuse, resetAfterBytes, value);
    }
}
