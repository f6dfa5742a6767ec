package org.ibissaddle.internal.admission;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.ToDoubleFunction;
import org.ibissaddle.admission.Admission;
import org.ibissaddle.id.PoolId;
import org.ibissaddle.id.RequestId;
import org.ibissaddle.outcome.ExecutionStatus;
import org.ibissaddle.outcome.Refusal;
import org.ibissaddle.outcome.RefusalType;
import org.ibissaddle.placement.PlacementRequest;

/**
 * Admits requests by predicted wait and queues them with start-time fair queueing between workspaces while a pool is
 * busy.
 */
public final class FairAdmission implements Admission {
    private static final long MIN_RETRY_MS = 200;
    private static final long MAX_RETRY_MS = 30_000;

    private final int maxQueued;
    private final double queueAboveRatio;
    private final Map<PoolId, FairQueue> queues = new ConcurrentHashMap<>();
    private final Map<RequestId, FairQueue> queueByRequest = new ConcurrentHashMap<>();

    /**
     * Creates admission control with empty queues.
     *
     * @param maxQueued maximum number of queued requests per pool
     * @param queueAboveRatio ratio of predicted wait to target above which requests are queued
     */
    public FairAdmission(int maxQueued, double queueAboveRatio) {
        this.maxQueued = maxQueued;
        this.queueAboveRatio = queueAboveRatio;
    }

    @Override
    public AdmissionDecision admit(
            PlacementRequest placementRequest, double predictedWaitMs, double targetMs, long nowMs) {
        if (placementRequest.deadlineMs() <= nowMs) {
            return new Refuse(Refusal.of(
                    RefusalType.DEADLINE_PASSED, "the deadline of the request has passed", ExecutionStatus.NOT_RUN));
        }
        FairQueue queue = queue(placementRequest.pool());
        boolean free = queue.isEmpty() && predictedWaitMs <= queueAboveRatio * targetMs;
        FairQueue.Entry entry = queue.tag(placementRequest);
        double expectedWaitMs = predictedWaitMs + queue.waitMs(entry);
        if (nowMs + expectedWaitMs > placementRequest.deadlineMs()) {
            queue.untag(entry);
            return new Refuse(overloaded(placementRequest, expectedWaitMs, nowMs));
        }
        if (free) {
            queue.started(entry, nowMs);
            return new Start();
        }
        return enqueue(queue, entry, expectedWaitMs, nowMs);
    }

    @Override
    public Optional<Dequeued> pollNext(
            PoolId pool, ToDoubleFunction<PlacementRequest> predictedWaitMs, double targetMs, long nowMs) {
        FairQueue queue = queue(pool);
        Optional<FairQueue.Entry> head = queue.peek();
        if (head.isEmpty()) {
            return Optional.empty();
        }
        PlacementRequest placementRequest = head.get().placementRequest();
        double expectedWaitMs = predictedWaitMs.applyAsDouble(placementRequest);
        boolean missesDeadline = nowMs + expectedWaitMs > placementRequest.deadlineMs();
        if (!missesDeadline && expectedWaitMs > queueAboveRatio * targetMs) {
            return queue.pollExpired(nowMs).map(entry -> refuseEntry(entry, nowMs));
        }
        if (!queue.remove(head.get())) {
            return pollNext(pool, predictedWaitMs, targetMs, nowMs);
        }
        queueByRequest.remove(placementRequest.request());
        if (missesDeadline) {
            return Optional.of(
                    new Dequeued(placementRequest, new Refuse(overloaded(placementRequest, expectedWaitMs, nowMs))));
        }
        queue.started(head.get(), nowMs);
        return Optional.of(new Dequeued(placementRequest, new Start()));
    }

    @Override
    public boolean cancel(RequestId request) {
        FairQueue queue = queueByRequest.remove(request);
        return queue != null && queue.remove(request);
    }

    @Override
    public int waiting(PoolId pool) {
        return queue(pool).size();
    }

    @Override
    public double predictedQueueWaitMs(PoolId pool) {
        return queue(pool).waitMs();
    }

    @Override
    public int expire(long nowMs) {
        int active = 0;
        for (FairQueue queue : queues.values()) {
            active += queue.expire();
        }
        return active;
    }

    private AdmissionDecision enqueue(FairQueue queue, FairQueue.Entry entry, double expectedWaitMs, long nowMs) {
        List<Dequeued> displaced = List.of();
        if (queue.size() >= maxQueued) {
            Optional<FairQueue.Entry> last = queue.pollLastAfter(entry);
            if (last.isEmpty()) {
                queue.untag(entry);
                return new Refuse(overloaded(entry.placementRequest(), expectedWaitMs, nowMs));
            }
            displaced = List.of(refuseEntry(last.get(), nowMs));
        }
        queueByRequest.put(entry.placementRequest().request(), queue);
        queue.add(entry);
        return new Wait(displaced);
    }

    private Dequeued refuseEntry(FairQueue.Entry entry, long nowMs) {
        queueByRequest.remove(entry.placementRequest().request());
        queue(entry.placementRequest().pool()).untag(entry);
        return new Dequeued(entry.placementRequest(), new Refuse(overloaded(entry.placementRequest(), 0, nowMs)));
    }

    private FairQueue queue(PoolId pool) {
        FairQueue existing = queues.get(pool);
        return existing != null ? existing : queues.computeIfAbsent(pool, p -> new FairQueue());
    }

    private static Refusal overloaded(PlacementRequest placementRequest, double expectedWaitMs, long nowMs) {
        double overrunMs = nowMs + expectedWaitMs - placementRequest.deadlineMs();
        double delayMs = Math.min(MAX_RETRY_MS, Math.max(MIN_RETRY_MS, overrunMs));
        // Jitter from the request ID spreads the retries of requests refused at the same time.
        double jitter = (placementRequest.request().hashCode() & 0xff) / 256.0;
        String message = Double.isInfinite(expectedWaitMs)
                ? "no server of pool \"" + placementRequest.pool() + "\" can take the request"
                : "predicted wait of " + Math.round(expectedWaitMs) + " ms for pool \"" + placementRequest.pool()
                        + "\" exceeds the deadline";
        return Refusal.of(RefusalType.OVERLOADED, message, ExecutionStatus.NOT_RUN)
                .withRetryAt(nowMs + Math.round(delayMs * (1 + jitter)));
    }
}
