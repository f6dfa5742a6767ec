package org.ibissaddle.daemon.admission;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import org.ibissaddle.admission.Admission;
import org.ibissaddle.admission.Admissions;
import org.ibissaddle.admission.WorkspaceRateLimiter;
import org.ibissaddle.daemon.state.SharedState;
import org.ibissaddle.fleet.Health;
import org.ibissaddle.fleet.InstanceView;
import org.ibissaddle.id.InstanceId;
import org.ibissaddle.id.PoolId;
import org.ibissaddle.id.Region;
import org.ibissaddle.id.RequestId;
import org.ibissaddle.id.WorkspaceId;
import org.ibissaddle.membership.Gossip;
import org.ibissaddle.membership.LocalDemand;
import org.ibissaddle.note.ReleaseNote;
import org.ibissaddle.outcome.ExecutionStatus;
import org.ibissaddle.outcome.Refusal;
import org.ibissaddle.outcome.RefusalType;
import org.ibissaddle.outcome.RefusedException;
import org.ibissaddle.placement.Placement;
import org.ibissaddle.placement.PlacementRequest;
import org.ibissaddle.placement.WeightedPolicy;
import org.ibissaddle.port.Clock;

/**
 * Admits requests within the rate limit of their workspace and the capacity of their pool. A request that could not
 * meet its deadline is refused early instead of queued.
 */
public final class AdmissionGate {
    private static final int MAX_REPORTED_DEMANDS = 16;
    private static final Admission.AdmissionDecision CALLER_DISCONNECTED = new Admission.Refuse(Refusal.of(
            RefusalType.DEADLINE_PASSED,
            "the client closed the connection before its request was admitted",
            ExecutionStatus.NOT_RUN));

    private final SharedState state;
    private final WeightedPolicy policy;
    private final Clock clock;
    private final Admission admission = Admissions.fair();
    private final WorkspaceRateLimiter limits = Admissions.limits();
    private final SerialExecutor serialExecutor = new SerialExecutor();
    private final Map<RequestId, CompletableFuture<Admission.AdmissionDecision>> pendingDecisions =
            new ConcurrentHashMap<>();
    private final Set<PoolId> pools = ConcurrentHashMap.newKeySet();

    /**
     * Creates the admission gate of an instance.
     *
     * @param state current release note and fleet view
     * @param policy predicts queue waits
     * @param clock time source
     */
    public AdmissionGate(SharedState state, WeightedPolicy policy, Clock clock) {
        this.state = state;
        this.policy = policy;
        this.clock = clock;
    }

    /**
     * Blocks until a request may be placed on a backend server.
     *
     * @param placementRequest the request
     * @param onDisconnect registers a callback for the disconnect of the caller
     * @throws RefusedException if the request is refused; it has not been executed
     */
    public void awaitAdmission(PlacementRequest placementRequest, Consumer<Runnable> onDisconnect)
            throws RefusedException {
        ReleaseNote note = state.note().orElseThrow();
        long nowMs = clock.nowMs();
        if (nowMs >= placementRequest.deadlineMs()) {
            throw refused(
                    RefusalType.DEADLINE_PASSED,
                    "the deadline of request " + placementRequest.request() + " has passed");
        }
        if (!placementRequest.forwarded()) {
            acquireRateLimit(placementRequest, nowMs);
        }
        Placement placement = policy.place(placementRequest, note, state.fleet(), nowMs, ThreadLocalRandom.current());
        switch (placement) {
            case Placement.Refuse refuse -> throw new RefusedException(refuse.refusal());
            case Placement.Forward forward -> {}
            case Placement.Serve serve -> awaitDecision(placementRequest, note, onDisconnect);
        }
    }

    private void acquireRateLimit(PlacementRequest placementRequest, long nowMs) throws RefusedException {
        Optional<Refusal> refusal = limits.tryAcquire(placementRequest.workspace(), nowMs);
        if (refusal.isPresent()) {
            throw new RefusedException(refusal.get());
        }
    }

    private void awaitDecision(PlacementRequest placementRequest, ReleaseNote note, Consumer<Runnable> onDisconnect)
            throws RefusedException {
        CompletableFuture<Admission.AdmissionDecision> decision = new CompletableFuture<>();
        pendingDecisions.put(placementRequest.request(), decision);
        pools.add(placementRequest.pool());
        onDisconnect.accept(() -> decision.complete(CALLER_DISCONNECTED));
        try {
            serialExecutor.run(() -> decide(placementRequest, note, decision));
            throwIfRefused(
                    decision.get(Math.max(1, placementRequest.deadlineMs() - clock.nowMs()), TimeUnit.MILLISECONDS));
        } catch (TimeoutException e) {
            throw refused(
                    RefusalType.OVERLOADED,
                    "pool \"" + placementRequest.pool() + "\" had no free capacity before the deadline of request "
                            + placementRequest.request());
        } catch (ExecutionException e) {
            throw new IllegalStateException(
                    "the admission decision failed for request " + placementRequest.request(), e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw refused(RefusalType.DRAINING, "the instance is stopping");
        } finally {
            pendingDecisions.remove(placementRequest.request());
            serialExecutor.run(() -> admission.cancel(placementRequest.request()));
        }
    }

    private void decide(
            PlacementRequest placementRequest,
            ReleaseNote note,
            CompletableFuture<Admission.AdmissionDecision> decision) {
        long nowMs = clock.nowMs();
        double waitMs = policy.predictedWaitMs(placementRequest, note, state.fleet(), nowMs);
        Admission.AdmissionDecision initialDecision = admission.admit(
                placementRequest, waitMs, (double) note.weights().firstTokenTargetMs(), nowMs);
        if (initialDecision instanceof Admission.Wait wait) {
            wait.displaced().forEach(this::completeDecision);
            return;
        }
        decision.complete(initialDecision);
    }

    private static void throwIfRefused(Admission.AdmissionDecision decision) throws RefusedException {
        if (decision instanceof Admission.Refuse refuse) {
            throw new RefusedException(refuse.refusal());
        }
    }

    private void completeDecision(Admission.Dequeued released) {
        CompletableFuture<Admission.AdmissionDecision> decision =
                pendingDecisions.get(released.placementRequest().request());
        if (decision != null) {
            decision.complete(released.decision());
        }
    }

    /**
     * Admits waiting requests of a pool as far as its capacity allows.
     *
     * @param pool a pool whose load may have fallen
     */
    public void advance(PoolId pool) {
        if (!pendingDecisions.isEmpty()) {
            serialExecutor.run(() -> admitWaiting(pool));
        }
    }

    private void admitWaiting(PoolId pool) {
        Optional<ReleaseNote> note = state.note();
        if (note.isEmpty()) {
            return;
        }
        long nowMs = clock.nowMs();
        double targetMs = note.get().weights().firstTokenTargetMs();
        while (admission.waiting(pool) > 0) {
            Optional<Admission.Dequeued> next = admission.pollNext(
                    pool,
                    placementRequest -> policy.predictedWaitMs(placementRequest, note.get(), state.fleet(), nowMs),
                    targetMs,
                    nowMs);
            if (next.isEmpty()) {
                break;
            }
            completeDecision(next.get());
        }
        policy.setQueueWaitMs(pool, admission.predictedQueueWaitMs(pool));
    }

    /** Admits waiting requests of all pools. Call at a fixed interval, so that new load reports take effect. */
    public void advanceAll() {
        pools.forEach(this::advance);
    }

    /** Drops idle workspaces and updates the set of peers. Call at a fixed interval. */
    public void removeExpired() {
        long nowMs = clock.nowMs();
        Map<InstanceId, Region> peers = new HashMap<>();
        for (InstanceView peer : state.fleet().peers()) {
            if (peer.health() != Health.LEAVING) {
                peers.put(peer.id(), peer.region());
            }
        }
        limits.setPeers(peers);
        limits.expire(nowMs);
        serialExecutor.run(() -> admission.expire(nowMs));
    }

    /**
     * Returns the workspaces with the highest demand at this instance, to be reported to its peers.
     *
     * @return demand of the workspaces that the release note declares
     */
    public List<LocalDemand> demands() {
        List<LocalDemand> demands = new ArrayList<>();
        limits.demand(MAX_REPORTED_DEMANDS, clock.nowMs())
                .forEach((id, perSecond) -> state.note()
                        .flatMap(note -> note.workspace(id))
                        .ifPresent(workspace -> demands.add(new LocalDemand(id, workspace.homeRegion(), perSecond))));
        return demands;
    }

    /**
     * Stores the workspace demand that a peer reports.
     *
     * @param gossip gossip message of the peer
     */
    public void updatePeerDemand(Gossip gossip) {
        Map<WorkspaceId, Double> demand = new HashMap<>();
        gossip.demands().forEach(reported -> demand.put(reported.workspace(), reported.perSecond()));
        limits.recordPeerDemand(gossip.from().id(), demand, clock.nowMs());
    }

    /**
     * Returns the number of waiting requests.
     *
     * @return number of requests in all queues
     */
    public int waitingRequests() {
        return pendingDecisions.size();
    }

    private static RefusedException refused(RefusalType type, String message) {
        return new RefusedException(Refusal.of(type, message, ExecutionStatus.NOT_RUN));
    }
}
