package org.ibissaddle.standins;

import java.util.Optional;

/**
 * Faults of a model engine stand-in. {@code POST /control} replaces the fields that its JSON object names.
 *
 * @param crashOn text whose appearance in a prompt crashes the engine once the request enters the batch
 * @param stallMs how long all steps stand still, from the moment the fault is set
 * @param lateMs how long the first byte of an answer is held back
 * @param crossNext how many answers still carry pieces of another request
 * @param duplicateEvery every how many events one is sent twice; 0 for never
 * @param gapEvery every how many events one is left out; 0 for never
 * @param cutAfterEvents after how many events the next stream is cut, once; 0 for never
 * @param drain whether new requests are refused
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

    /** An engine without faults. */
    public static EngineFaults none() {
        return new EngineFaults(Optional.empty(), 0, 0, 0, 0, 0, 0, false);
    }

    /** Returns these faults with a text that crashes the engine. */
    public EngineFaults withCrashOn(String text) {
        return new EngineFaults(
                Optional.of(text), stallMs, lateMs, crossNext, duplicateEvery, gapEvery, cutAfterEvents, drain);
    }

    /** Returns these faults with a stall of all steps. */
    public EngineFaults withStallMs(long value) {
        return new EngineFaults(crashOn, value, lateMs, crossNext, duplicateEvery, gapEvery, cutAfterEvents, drain);
    }

    /** Returns these faults with a late first byte. */
    public EngineFaults withLateMs(long value) {
        return new EngineFaults(crashOn, stallMs, value, crossNext, duplicateEvery, gapEvery, cutAfterEvents, drain);
    }

    /** Returns these faults with a number of crossed answers. */
    public EngineFaults withCrossNext(int value) {
        return new EngineFaults(crashOn, stallMs, lateMs, value, duplicateEvery, gapEvery, cutAfterEvents, drain);
    }

    /** Returns these faults with repeated events. */
    public EngineFaults withDuplicateEvery(int value) {
        return new EngineFaults(crashOn, stallMs, lateMs, crossNext, value, gapEvery, cutAfterEvents, drain);
    }

    /** Returns these faults with missing events. */
    public EngineFaults withGapEvery(int value) {
        return new EngineFaults(crashOn, stallMs, lateMs, crossNext, duplicateEvery, value, cutAfterEvents, drain);
    }

    /** Returns these faults with a cut of the next stream. */
    public EngineFaults withCutAfterEvents(int value) {
        return new EngineFaults(crashOn, stallMs, lateMs, crossNext, duplicateEvery, gapEvery, value, drain);
    }

    /** Returns these faults with draining on or off. */
    public EngineFaults withDrain(boolean value) {
        return new EngineFaults(crashOn, stallMs, lateMs, crossNext, duplicateEvery, gapEvery, cutAfterEvents, value);
    }
}
