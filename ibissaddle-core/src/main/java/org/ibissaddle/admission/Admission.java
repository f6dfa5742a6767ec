package org.ibissaddle.admission;

import java.util.List;
import java.util.Optional;
import java.util.function.ToDoubleFunction;
import org.ibissaddle.id.PoolId;
import org.ibissaddle.id.RequestId;
import org.ibissaddle.outcome.Refusal;
import org.ibissaddle.placement.PlacementRequest;

/**
 * Admission control: starts a request, queues it in a bounded queue while its pool is busy, or refuses it early. A
 * refused request was not run.
 *
 * <pre>{@code
 * switch (admission.admit(request, predictedWaitMs, targetMs, nowMs)) {
 *     case Admission.Start start -> dispatch(request);
 *     case Admission.Wait wait -> enqueue(request, wait.displaced());
 *     case Admission.Refuse refuse -> respond(refuse.refusal());
 * }
 * // After each first token, completed request or load report:
 * Optional<Admission.Dequeued> next = admission.pollNext(pool, predictedWaitMs, targetMs, nowMs);
 * }</pre>
 */
public interface Admission {
    /**
     * Decides whether an arriving request starts, waits or is refused.
     *
     * @param request the request
     * @param predictedWaitMs predicted time to first token on the best server, milliseconds
     * @param targetMs target time to first token, milliseconds
     * @param nowMs current time, epoch milliseconds
     * @return the decision
     */
    AdmissionDecision admit(PlacementRequest request, double predictedWaitMs, double targetMs, long nowMs);

    /**
     * Removes the next request from a pool's queue if it can start or must be refused. Call it repeatedly until the
     * result is empty.
     *
     * @param pool the pool
     * @param predictedWaitMs predicts the time to first token of a request on the best server, milliseconds
     * @param targetMs target time to first token, milliseconds
     * @param nowMs current time, epoch milliseconds
     * @return the request with its decision, empty if all queued requests must keep waiting
     */
    Optional<Dequeued> pollNext(
            PoolId pool, ToDoubleFunction<PlacementRequest> predictedWaitMs, double targetMs, long nowMs);

    /**
     * Removes a request from its queue after its caller has disconnected.
     *
     * @param request the request ID
     * @return whether the request was queued
     */
    boolean cancel(RequestId request);

    /**
     * Returns the number of queued requests of a pool.
     *
     * @param pool the pool
     * @return the length of the pool's queue
     */
    int waiting(PoolId pool);

    /**
     * Predicts how long a request at the tail of a pool's queue would wait.
     *
     * @param pool the pool
     * @return predicted wait, milliseconds
     */
    double predictedQueueWaitMs(PoolId pool);

    /**
     * Removes the state of idle workspaces.
     *
     * @param nowMs current time, epoch milliseconds
     * @return number of workspaces that still have state
     */
    int expire(long nowMs);

    /** The decision on a request. */
    sealed interface AdmissionDecision {}

    /** The request starts now. */
    record Start() implements AdmissionDecision {}

    /**
     * The request waits in the queue.
     *
     * @param displaced requests that it displaced from the full queue; the caller must refuse them
     */
    record Wait(List<Dequeued> displaced) implements AdmissionDecision {
        /** Copies the list. */
        public Wait {
            displaced = List.copyOf(displaced);
        }
    }

    /**
     * The request is refused and was not run.
     *
     * @param refusal the refusal to return to the caller
     */
    record Refuse(Refusal refusal) implements AdmissionDecision {}

    /**
     * A request that leaves the queue.
     *
     * @param placementRequest the request
     * @param decision {@link Start} or {@link Refuse}
     */
    record Dequeued(PlacementRequest placementRequest, AdmissionDecision decision) {}
}
