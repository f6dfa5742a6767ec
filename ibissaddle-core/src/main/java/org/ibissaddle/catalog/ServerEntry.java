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
        OptionalLong startedMs) {}
