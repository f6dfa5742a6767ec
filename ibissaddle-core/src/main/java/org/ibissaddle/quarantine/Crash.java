package org.ibissaddle.quarantine;

import java.util.Optional;
import org.ibissaddle.id.Incarnation;
import org.ibissaddle.id.ServerId;

/**
 * The end of one life of an engine, the same for all instances that saw it.
 *
 * @param server the engine
 * @param life the incarnation that ended, or the time of the end where the incarnation was never heard
 */
public record Crash(ServerId server, String life) {
    private static final long GUESS_MS = 10_000;

    /**
     * Names a crash.
     *
     * @param server the engine
     * @param incarnation its incarnation, if known
     * @param nowMs current time, epoch milliseconds
     * @return the crash
     */
    public static Crash of(ServerId server, Optional<Incarnation> incarnation, long nowMs) {
        String life = incarnation.map(Incarnation::toString).orElse("at-" + nowMs / GUESS_MS);
        return new Crash(server, life);
    }
}
