package org.ibissaddle.catalog;

import java.util.OptionalLong;
import org.ibissaddle.id.Address;
import org.ibissaddle.id.ServerId;
import org.ibissaddle.id.Zone;

/**
 * Entry that a backend server publishes about itself.
 *
 * @param id id of the server
 * @param service the service that the server belongs to
 * @param address address on which the server listens
 * @param zone availability zone of the server
 * @param slots maximum number of concurrent requests
 * @param draining whether the server is draining and accepts no new requests
 * @param coldForMs remaining cold-start period in milliseconds
 * @param remainingMs time in milliseconds until the server stops even if requests are running; empty if it stops once
 *     it is idle
 * @param startedMs start time of the server process in epoch milliseconds; empty if the server does not publish it
 * @param sequence number that rises with each entry of the same process; empty if the server does not publish it
 */
public record ServerEntry(
        ServerId id,
        String service,
        Address address,
        Zone zone,
        int slots,
        boolean draining,
        long coldForMs,
        OptionalLong remainingMs,
        OptionalLong startedMs,
        OptionalLong sequence) {
    /**
     * Creates an entry without a sequence number.
     *
     * @param id id of the server
     * @param service the service that the server belongs to
     * @param address address on which the server listens
     * @param zone availability zone of the server
     * @param slots maximum number of concurrent requests
     * @param draining whether the server is draining and accepts no new requests
     * @param coldForMs remaining cold-start period in milliseconds
     * @param remainingMs time in milliseconds until the server stops; empty if it stops once it is idle
     * @param startedMs start time of the server process in epoch milliseconds; empty if the server does not publish it
     */
    public ServerEntry(
            ServerId id,
            String service,
            Address address,
            Zone zone,
            int slots,
            boolean draining,
            long coldForMs,
            OptionalLong remainingMs,
            OptionalLong startedMs) {
        this(id, service, address, zone, slots, draining, coldForMs, remainingMs, startedMs, OptionalLong.empty());
    }

    /**
     * Returns whether this entry was published after another one of the same process.
     *
     * @param other the other entry
     * @return false if it is the same or an earlier one; true if it is of another process, or nothing tells
     */
    public boolean isAfter(ServerEntry other) {
        boolean comparable = startedMs.isPresent()
                && startedMs.equals(other.startedMs)
                && sequence.isPresent()
                && other.sequence.isPresent();
        return !comparable || sequence.getAsLong() > other.sequence.getAsLong();
    }
}
