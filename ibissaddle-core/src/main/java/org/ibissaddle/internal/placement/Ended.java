package org.ibissaddle.internal.placement;

import org.ibissaddle.placement.PlacementPolicy;

/** Work that was never begun. */
enum Ended implements PlacementPolicy.Running {
    INSTANCE;

    @Override
    public void firstToken(long nowMs) {}

    @Override
    public void generated(int tokens) {}

    @Override
    public void ended(boolean succeeded, long nowMs) {}
}
