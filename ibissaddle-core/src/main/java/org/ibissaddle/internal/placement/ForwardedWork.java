package org.ibissaddle.internal.placement;

import java.util.concurrent.atomic.AtomicBoolean;
import org.ibissaddle.placement.PlacementPolicy;
import org.ibissaddle.placement.PlacementRequest;

/** Handle for a request that was forwarded to another region. */
final class ForwardedWork implements PlacementPolicy.DispatchHandle {
    private final RemoteRegion region;
    private final long tokens;
    private final AtomicBoolean ended = new AtomicBoolean();

    ForwardedWork(PlacementRequest request, RemoteRegion region, long outputTokens) {
        this.region = region;
        tokens = Math.round(request.promptTokens() * WorkCosts.PREFILL_TOKEN_COST) + outputTokens;
        region.outstandingTokens.addAndGet(tokens);
    }

    @Override
    public void firstToken(long nowMs) {}

    @Override
    public void generated(int count) {}

    @Override
    public void completed(boolean succeeded, long nowMs) {
        if (!ended.compareAndSet(false, true)) {
            return;
        }
        region.outstandingTokens.addAndGet(-tokens);
        if (!succeeded) {
            region.recordRefusal(nowMs);
        }
    }
}
