package org.ibissaddle.quarantine;

/**
 * Records that a marked request completed, which voids its earlier marks.
 *
 * @param request fingerprint of the request
 * @param atMs completion time, epoch milliseconds
 */
public record Clearance(Fingerprint request, long atMs) {}
