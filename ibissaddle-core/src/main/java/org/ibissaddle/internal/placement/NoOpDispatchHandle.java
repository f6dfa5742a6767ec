package org.ibissaddle.internal.placement;

import org.ibissaddle.placement.PlacementPolicy;

/** Handle for work that is not tracked, such as a refused request; ignores all reports. */
enum NoOpDispatchHandle implements PlacementPolicy.DispatchHandle {
    INSTANCE;

    @Override
    public void firstToken(long nowMs) {}

    @Override
    public void generated(int tokens) {}

    @Override
    public void completed(boolean succeeded, long nowMs) {}
}
