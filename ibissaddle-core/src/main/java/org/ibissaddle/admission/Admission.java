package org.ibissaddle.admission;

import java.util.List;
import java.util.Optional;
import java.util.function.ToDoubleFunction;
import org.ibissaddle.id.PoolId;
import org.ibissaddle.id.RequestId;
import org.ibissaddle.outcome.Refusal;
import org.ibissaddle.placement.Work;

/**
 * Takes requests in, holds them in a bounded queue while the pool is busy, or refuses them early. All refusals mean
 * that the request was not run.
 *
 * <pre>{@code
 * switch (admission.arrive(work, predictedWaitMs, targetMs, nowMs)) {
 *     case Admission.Start start -> dispatch(work);
 *     case Admission.Wait wait -> park(work, wait.displaced());
 *     case Admission.Refuse refuse -> answer(refuse.refusal());
 * }
 * // Whenever a first token came, a request ended or a load report arrived:
 * Optional<Admission.Released> next = admission.next(pool, predictedWaitMs, targetMs, nowMs);
 * }</pre>
 */
public interface Admission {
    /**
     * Decides on a request that has arrived.
     *
     * @param work the request
     * @param predictedWaitMs predicted wait for the first token on the best server, milliseconds
     * @param targetMs target for the first token, milliseconds
     * @param nowMs current time, epoch milliseconds
     * @return whether it starts, waits or is refused
     */
    Verdict arrive(Work work, double predictedWaitMs, double targetMs, long nowMs);

    /**
     * Takes the next request out of a pool's queue if the pool can take it or it must be refused. To be called until
     * empty.
     *
     * @param pool the pool
     * @param predictedWaitMs predicted wait of a request on the best server, milliseconds
     * @param targetMs target for the first token, milliseconds
     * @param nowMs current time, epoch milliseconds
     * @return the request with its verdict, empty when all have to wait on
     */
    Optional<Released> next(PoolId pool, ToDoubleFunction<Work> predictedWaitMs, double targetMs, long nowMs);

    /**
     * Takes a request out of its queue because its caller is gone.
     *
     * @param request its name
     * @return whether it was waiting
     */
    boolean abandon(RequestId request);

    /**
     * Counts the requests that wait.
     *
     * @param pool the pool
     * @return requests in the pool's queue
     */
    int waiting(PoolId pool);

    /**
     * Predicts how long a request that arrives last would wait in a pool's queue.
     *
     * @param pool the pool
     * @return milliseconds
     */
    double queueWaitMs(PoolId pool);

    /**
     * Forgets workspaces that are idle.
     *
     * @param nowMs current time, epoch milliseconds
     * @return workspaces that are still remembered
     */
    int expire(long nowMs);

    /** A decision on a request. */
    sealed interface Verdict {}

    /** It starts now. */
    record Start() implements Verdict {}

    /**
     * It waits in the queue.
     *
     * @param displaced requests that lost their place in the full queue to it, to be refused
     */
    record Wait(List<Released> displaced) implements Verdict {
        /** Copies the list. */
        public Wait {
            displaced = List.copyOf(displaced);
        }
    }

    /**
     * It is refused and was not run.
     *
     * @param refusal what the caller is told
     */
    record Refuse(Refusal refusal) implements Verdict {}

    /**
     * A request that leaves the queue.
     *
     * @param work the request
     * @param verdict {@link Start} or {@link Refuse}
     */
    record Released(Work work, Verdict verdict) {}
}
