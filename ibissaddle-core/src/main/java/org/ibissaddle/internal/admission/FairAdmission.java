package org.ibissaddle.internal.admission;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.ToDoubleFunction;
import org.ibissaddle.admission.Admission;
import org.ibissaddle.id.PoolId;
import org.ibissaddle.id.RequestId;
import org.ibissaddle.outcome.Fate;
import org.ibissaddle.outcome.Refusal;
import org.ibissaddle.outcome.RefusalType;
import org.ibissaddle.placement.Work;

/** Admission by predicted wait, with start-time fair queueing between workspaces while a pool is busy. */
public final class FairAdmission implements Admission {
    private static final long MIN_RETRY_MS = 200;
    private static final long MAX_RETRY_MS = 30_000;

    private final int most;
    private final double holdAbove;
    private final Map<PoolId, FairQueue> queues = new ConcurrentHashMap<>();
    private final Map<RequestId, FairQueue> waiting = new ConcurrentHashMap<>();

    /**
     * Creates admission that knows nothing yet.
     *
     * @param most most requests that wait for a pool
     * @param holdAbove predicted wait over target above which requests wait here
     */
    public FairAdmission(int most, double holdAbove) {
        this.most = most;
        this.holdAbove = holdAbove;
    }

    @Override
    public Verdict arrive(Work work, double predictedWaitMs, double targetMs, long nowMs) {
        if (work.deadlineMs() <= nowMs) {
            return new Refuse(
                    Refusal.of(RefusalType.DEADLINE_PASSED, "the deadline of the request has passed", Fate.NOT_RUN));
        }
        FairQueue queue = queue(work.pool());
        boolean free = queue.isEmpty() && predictedWaitMs <= holdAbove * targetMs;
        FairQueue.Entry entry = queue.tag(work);
        double wait = predictedWaitMs + queue.waitMs(entry);
        if (nowMs + wait > work.deadlineMs()) {
            queue.untag(entry);
            return new Refuse(overloaded(work, wait, nowMs));
        }
        if (free) {
            queue.started(entry, nowMs);
            return new Start();
        }
        return enqueue(queue, entry, wait, nowMs);
    }

    @Override
    public Optional<Released> next(PoolId pool, ToDoubleFunction<Work> predictedWaitMs, double targetMs, long nowMs) {
        FairQueue queue = queue(pool);
        Optional<FairQueue.Entry> head = queue.peek();
        if (head.isEmpty()) {
            return Optional.empty();
        }
        Work work = head.get().work();
        double wait = predictedWaitMs.applyAsDouble(work);
        boolean late = nowMs + wait > work.deadlineMs();
        if (!late && wait > holdAbove * targetMs) {
            return queue.pollExpired(nowMs).map(entry -> refused(entry, nowMs));
        }
        if (!queue.remove(head.get())) {
            return next(pool, predictedWaitMs, targetMs, nowMs);
        }
        waiting.remove(work.request());
        if (late) {
            return Optional.of(new Released(work, new Refuse(overloaded(work, wait, nowMs))));
        }
        queue.started(head.get(), nowMs);
        return Optional.of(new Released(work, new Start()));
    }

    @Override
    public boolean abandon(RequestId request) {
        FairQueue queue = waiting.remove(request);
        return queue != null && queue.remove(request);
    }

    @Override
    public int waiting(PoolId pool) {
        return queue(pool).size();
    }

    @Override
    public double queueWaitMs(PoolId pool) {
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

    private Verdict enqueue(FairQueue queue, FairQueue.Entry entry, double wait, long nowMs) {
        List<Released> displaced = List.of();
        if (queue.size() >= most) {
            Optional<FairQueue.Entry> last = queue.pollLastAfter(entry);
            if (last.isEmpty()) {
                queue.untag(entry);
                return new Refuse(overloaded(entry.work(), wait, nowMs));
            }
            displaced = List.of(refused(last.get(), nowMs));
        }
        waiting.put(entry.work().request(), queue);
        queue.add(entry);
        return new Wait(displaced);
    }

    private Released refused(FairQueue.Entry entry, long nowMs) {
        waiting.remove(entry.work().request());
        queue(entry.work().pool()).untag(entry);
        return new Released(entry.work(), new Refuse(overloaded(entry.work(), 0, nowMs)));
    }

    private FairQueue queue(PoolId pool) {
        FairQueue known = queues.get(pool);
        return known != null ? known : queues.computeIfAbsent(pool, p -> new FairQueue());
    }

    private static Refusal overloaded(Work work, double wait, long nowMs) {
        double late = nowMs + wait - work.deadlineMs();
        double pause = Math.min(MAX_RETRY_MS, Math.max(MIN_RETRY_MS, late));
        double spread = (work.request().hashCode() & 0xff) / 256.0;
        String message = Double.isInfinite(wait)
                ? "no server of pool \"" + work.pool() + "\" can take the request"
                : "predicted wait of " + Math.round(wait) + " ms for pool \"" + work.pool() + "\" exceeds the deadline";
        return Refusal.of(RefusalType.OVERLOADED, message, Fate.NOT_RUN)
                .retryAt(nowMs + Math.round(pause * (1 + spread)));
    }
}
