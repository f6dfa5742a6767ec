package org.ibissaddle.quarantine;

/**
 * A marked request that has completed: its earlier marks are void.
 *
 * @param request fingerprint of the request
 * @param atMs when it completed, epoch milliseconds
 */
public record Clearance(Fingerprint request, long atMs) {}
