package org.ibissaddle.standins;

import java.util.Optional;

/**
 * Faults injected into a model engine stand-in. {@code POST /control} replaces the fields given in its JSON object.
 *
 * @param crashOn crashes the engine when a request whose prompt contains this text enters the batch
 * @param stallMs stalls all batch steps for this time, starting when the fault is set
 * @param lateMs the delay of the first byte of an answer
 * @param crossNext the number of following answers that contain text of another request
 * @param duplicateEvery sends every n-th event of a stream twice; 0 disables
 * @param gapEvery omits every n-th event of a stream; 0 disables
 * @param cutAfterEvents closes the connection of the next stream after this many events, once; 0 disables
 * @param drain whether new requests are rejected
 */
public record EngineFaults(
        Optional<String> crashOn,
        long stallMs,
        long lateMs,
        int crossNext,
        int duplicateEvery,
        int gapEvery,
        int cutAfterEvents,
        boolean drain) {

    /** Returns a configuration without faults. */
    public static EngineFaults none() {
        return new EngineFaults(Optional.empty(), 0, 0, 0, 0, 0, 0, false);
    }

    /** Returns a copy with a prompt text that crashes the engine. */
    public EngineFaults withCrashOn(String text) {
        return new EngineFaults(
                Optional.of(text), stallMs, lateMs, crossNext, duplicateEvery, gapEvery, cutAfterEvents, drain);
    }

    /** Returns a copy with a stall of all batch steps. */
    public EngineFaults withStallMs(long value) {
        return new EngineFaults(crashOn, value, lateMs, crossNext, duplicateEvery, gapEvery, cutAfterEvents, drain);
    }

    /** Returns a copy with a delayed first byte. */
    public EngineFaults withLateMs(long value) {
        return new EngineFaults(crashOn, stallMs, value, crossNext, duplicateEvery, gapEvery, cutAfterEvents, drain);
    }

    /** Returns a copy with a number of answers that contain text of another request. */
    public EngineFaults withCrossNext(int value) {
        return new EngineFaults(crashOn, stallMs, lateMs, value, duplicateEvery, gapEvery, cutAfterEvents, drain);
    }

    /** Returns a copy with duplicated events. */
    public EngineFaults withDuplicateEvery(int value) {
        return new EngineFaults(crashOn, stallMs, lateMs, crossNext, value, gapEvery, cutAfterEvents, drain);
    }

    /** Returns a copy with omitted events. */
    public EngineFaults withGapEvery(int value) {
        return new EngineFaults(crashOn, stallMs, lateMs, crossNext, duplicateEvery, value, cutAfterEvents, drain);
    }

    /** Returns a copy that closes the connection of the next stream early. */
    public EngineFaults withCutAfterEvents(int value) {
        return new EngineFaults(crashOn, stallMs, lateMs, crossNext, duplicateEvery, gapEvery, value, drain);
    }

    /** Returns a copy with draining enabled or disabled. */
    public EngineFaults withDrain(boolean value) {
        return new EngineFaults(crashOn, stallMs, lateMs, crossNext, duplicateEvery, gapEvery, cutAfterEvents, value);
    }
}
