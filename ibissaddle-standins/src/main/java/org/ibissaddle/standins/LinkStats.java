package org.ibissaddle.standins;

/**
 * Connection and byte counts of a link.
 *
 * @param connections the number of accepted connections
 * @param open the number of open connections
 * @param refused the number of connections reset on arrival
 * @param resets the number of established connections reset by a fault
 * @param duplicates the number of duplicate connections opened to the server
 * @param bytesToServer the number of bytes delivered to the server
 * @param bytesToClient the number of bytes delivered to clients
 */
public record LinkStats(
        long connections,
        long open,
        long refused,
        long resets,
        long duplicates,
        long bytesToServer,
        long bytesToClient) {}
