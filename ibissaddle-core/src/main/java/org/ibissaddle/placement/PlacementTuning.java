package org.ibissaddle.placement;

/**
 * Tuning constants of the production policy.
 *
 * @param samples number of servers sampled at random for each decision, in addition to the holders and owner of the
 *     prefix
 * @param jitter maximum fraction by which a candidate's score is randomly increased, so that instances with the same
 *     stale report don't herd
 * @param prefixSlots number of entries in the prefix index, a power of two; 8 bytes each
 * @param maxEjectedShare maximum share of a pool's servers that may be ejected at the same time, 0 to 1
 * @param failuresToEject number of consecutive failures after which a server is ejected
 * @param ejectMs duration of the first ejection, milliseconds; doubles with each further ejection, up to a limit
 * @param spill whether work may be forwarded to other regions
 */
public record PlacementTuning(
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

    /** Validates the sample count and the size of the prefix index. */
    public PlacementTuning {
        if (samples < 1 || Integer.bitCount(prefixSlots) != 1) {
            throw new IllegalArgumentException("tuning: samples " + samples + " must be at least 1 and prefixSlots "
                    + prefixSlots + " a power of two; start from PlacementTuning.defaults()");
        }
    }

    /**
     * Returns the default tuning.
     *
     * @return the default constants
     */
    public static PlacementTuning defaults() {
        return new PlacementTuning(SAMPLES, JITTER, PREFIX_SLOTS, MAX_EJECTED_SHARE, FAILURES_TO_EJECT, EJECT_MS, true);
    }

    /**
     * Returns a copy with forwarding to other regions disabled.
     *
     * @return the copy
     */
    public PlacementTuning withoutSpill() {
        return new PlacementTuning(samples, jitter, prefixSlots, maxEjectedShare, failuresToEject, ejectMs, false);
    }
}
