package org.ibissaddle.route;

/** Hash functions that distribute hash codes evenly and give the same result on all instances. */
public final class HashMixer {
    private static final int FRACTION_BITS = 53;

    private HashMixer() {}

    /**
     * Mixes the bits of a value with the 64-bit finalizer of MurmurHash3.
     *
     * @param value the value
     * @return a hash in which each bit depends on all bits of the value
     */
    public static long mix(long value) {
        long h = value;
        h ^= h >>> 33;
        h *= 0xff51afd7ed558ccdL;
        h ^= h >>> 33;
        h *= 0xc4ceb9fe1a85ec53L;
        return h ^ (h >>> 33);
    }

    /**
     * Hashes a value to the unit interval.
     *
     * @param value the value
     * @return a number from 0 (inclusive) to 1 (exclusive)
     */
    public static double toUnitInterval(long value) {
        return (mix(value) >>> (Long.SIZE - FRACTION_BITS)) * 0x1.0p-53;
    }
}
