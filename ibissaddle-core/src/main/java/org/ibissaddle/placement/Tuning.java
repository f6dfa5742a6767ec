package org.ibissaddle.placement;

/**
 * Constants of the production policy that a deployment may want to change.
 *
 * @param samples servers drawn at random for each decision, beside those that hold the prefix
 * @param jitter share by which each candidate's score is randomly raised, so that instances do not herd
 * @param prefixSlots entries of the prefix index, a power of two; 8 bytes each
 * @param maxEjectedShare greatest share of a pool's servers ejected at the same time, 0 to 1
 * @param failuresToEject failures in a row that eject a server
 * @param ejectMs how long the first ejection lasts, milliseconds; it doubles with each further one
 * @param spill whether work may move between regions at all
 */
public record Tuning(
        int samples,
        double jitter,
        int prefixSlots,
        double maxEjectedShare,
        int failuresToEject,
        long ejectMs,
        boolean spill) {
    private static final int SAMPLES = 2;
    private static final double JITTER = 0.05;
    private static final int PREFIX_SLOTS = 1 << 17;
    private static final double MAX_EJECTED_SHARE = 0.34;
    private static final int FAILURES_TO_EJECT = 3;
    private static final long EJECT_MS = 2_000;

    /** Checks the ranges. */
    public Tuning {
        if (samples < 1 || Integer.bitCount(prefixSlots) != 1) {
            throw new IllegalArgumentException("tuning: samples " + samples + " must be at least 1 and prefixSlots "
                    + prefixSlots + " a power of two; start from Tuning.defaults()");
        }
    }

    /**
     * Returns the defaults.
     *
     * @return the default constants
     */
    public static Tuning defaults() {
        return new Tuning(SAMPLES, JITTER, PREFIX_SLOTS, MAX_EJECTED_SHARE, FAILURES_TO_EJECT, EJECT_MS, true);
    }

    /**
     * The same constants without work moving between regions.
     *
     * @return the constants
     */
    public Tuning withoutSpill() {
        return new Tuning(samples, jitter, prefixSlots, maxEjectedShare, failuresToEject, ejectMs, false);
    }
}
