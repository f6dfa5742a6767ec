package org.ibissaddle.admission;

import org.ibissaddle.internal.admission.DemandBasedRateLimiter;
import org.ibissaddle.internal.admission.FairAdmission;

/** Factory methods for admission control. */
public final class Admissions {
    private static final int MAX_QUEUED = 256;
    private static final double QUEUE_ABOVE_RATIO = 1.0;

    private Admissions() {}

    /**
     * Creates admission control with a bounded queue per pool and fair queueing between workspaces.
     *
     * @return admission control with empty queues
     */
    public static Admission fair() {
        return fair(MAX_QUEUED, QUEUE_ABOVE_RATIO);
    }

    /**
     * Creates admission control with a bounded queue per pool and fair queueing between workspaces.
     *
     * @param maxQueued maximum number of queued requests per pool
     * @param queueAboveRatio ratio of predicted wait to target above which requests are queued here instead of at a
     *     server
     * @return admission control with empty queues
     */
    public static Admission fair(int maxQueued, double queueAboveRatio) {
        return new FairAdmission(maxQueued, queueAboveRatio);
    }

    /**
     * Creates workspace limits that are divided among instances in proportion to demand.
     *
     * @return limits without peers
     */
    public static WorkspaceRateLimiter limits() {
        return new DemandBasedRateLimiter();
    }
}
