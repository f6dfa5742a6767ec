package org.ibissaddle.admission;

import org.ibissaddle.internal.admission.DemandLimits;
import org.ibissaddle.internal.admission.FairAdmission;

/** Makes the parts that take requests in. */
public final class Admissions {
    private static final int QUEUE = 256;
    private static final double HOLD_ABOVE = 1.0;

    private Admissions() {}

    /**
     * Admission with a bounded queue for each pool in which workspaces share fairly.
     *
     * @return admission that knows nothing yet
     */
    public static Admission fair() {
        return fair(QUEUE, HOLD_ABOVE);
    }

    /**
     * Admission with a bounded queue for each pool in which workspaces share fairly.
     *
     * @param queue most requests that wait for a pool
     * @param holdAbove predicted wait over target above which requests wait here rather than at a server
     * @return admission that knows nothing yet
     */
    public static Admission fair(int queue, double holdAbove) {
        return new FairAdmission(queue, holdAbove);
    }

    /**
     * Limits that are split between instances by demand.
     *
     * @return limits that know of no peer yet
     */
    public static WorkspaceLimits limits() {
        return new DemandLimits();
    }
}
