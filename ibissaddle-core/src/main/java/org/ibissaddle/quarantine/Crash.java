package org.ibissaddle.quarantine;

import java.util.Optional;
import org.ibissaddle.id.Incarnation;
import org.ibissaddle.id.ServerId;

/**
 * A crash of an engine, identified in the same way by all instances that observe it.
 *
 * @param server the engine
 * @param life the incarnation that ended, or the time bucket of the crash if the incarnation is unknown
 */
public record Crash(ServerId server, String life) {
    /** Width of the time bucket that identifies a crash of an unknown incarnation. */
    private static final long TIME_BUCKET_MS = 10_000;

    /**
     * Creates the identifier of a crash.
     *
     * @param server the engine
     * @param incarnation its incarnation, if known
     * @param nowMs current time, epoch milliseconds
     * @return the crash
     */
    public static Crash of(ServerId server, Optional<Incarnation> incarnation, long nowMs) {
        String incarnationOrBucket = incarnation.map(Incarnation::toString).orElse("at-" + nowMs / TIME_BUCKET_MS);
        return new Crash(server, incarnationOrBucket);
    }
}
