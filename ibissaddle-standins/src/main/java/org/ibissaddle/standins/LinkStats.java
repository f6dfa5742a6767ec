package org.ibissaddle.standins;

/**
 * What a link has carried so far.
 *
 * @param connections connections accepted
 * @param open connections that are open
 * @param refused connections closed at once
 * @param resets connections reset by a fault
 * @param duplicates second connections made to the server
 * @param bytesToServer bytes delivered to the server
 * @param bytesToClient bytes delivered to clients
 */
public record LinkStats(
        long connections,
        long open,
        long refused,
        long resets,
        long duplicates,
        long bytesToServer,
        long bytesToClient) {}
