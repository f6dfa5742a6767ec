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
import org.ibissaddle.admission.WorkspaceLimits;
import org.ibissaddle.daemon.state.SharedState;
import org.ibissaddle.fleet.Health;
import org.ibissaddle.fleet.InstanceView;
import org.ibissaddle.id.InstanceId;
import org.ibissaddle.id.PoolId;
import org.ibissaddle.id.Region;
import org.ibissaddle.id.RequestId;
import org.ibissaddle.id.WorkspaceId;
import org.ibissaddle.membership.Gossip;
import org.ibissaddle.membership.OwnDemand;
import org.ibissaddle.note.ReleaseNote;
import org.ibissaddle.outcome.Fate;
import org.ibissaddle.outcome.Refusal;
import org.ibissaddle.outcome.RefusalType;
import org.ibissaddle.outcome.RefusedException;
import org.ibissaddle.placement.Placement;
import org.ibissaddle.placement.WeightedPolicy;
import org.ibissaddle.placement.Work;
import org.ibissaddle.port.Clock;

/** Lets requests through when their workspace's limit and their pool allow it; refuses early what would be too late. */
public final class AdmissionGate {
    private static final int MOST_DEMANDS = 16;
    private static final Admission.Verdict CALLER_GONE = new Admission.Refuse(
            Refusal.of(RefusalType.DEADLINE_PASSED, "the caller went before its request was placed", Fate.NOT_RUN));

    private final SharedState state;
    private final WeightedPolicy policy;
    private final Clock clock;
    private final Admission admission = Admissions.fair();
    private final WorkspaceLimits limits = Admissions.limits();
    private final SerialLane lane = new SerialLane();
    private final Map<RequestId, CompletableFuture<Admission.Verdict>> waiting = new ConcurrentHashMap<>();
    private final Set<PoolId> pools = ConcurrentHashMap.newKeySet();

    /**
     * Creates the gate of an instance.
     *
     * @param state note and beliefs
     * @param policy predicts waits
     * @param clock source of time
     */
    public AdmissionGate(SharedState state, WeightedPolicy policy, Clock clock) {
        this.state = state;
        this.policy = policy;
        this.clock = clock;
    }

    /**
     * Waits until a request may be placed.
     *
     * @param work the request
     * @param onGone registers what happens when its caller goes
     * @throws RefusedException when it is refused; it was not run
     */
    public void enter(Work work, Consumer<Runnable> onGone) throws RefusedException {
        ReleaseNote note = state.note().orElseThrow();
        long nowMs = clock.nowMs();
        if (nowMs >= work.deadlineMs()) {
            throw refused(RefusalType.DEADLINE_PASSED, "the deadline of request " + work.request() + " has passed");
        }
        if (!work.forwarded()) {
            requireLimit(work, nowMs);
        }
        Placement placement = policy.place(work, note, state.fleet(), nowMs, ThreadLocalRandom.current());
        switch (placement) {
            case Placement.Refuse refuse -> throw new RefusedException(refuse.refusal());
            case Placement.Forward forward -> {}
            case Placement.Serve serve -> awaitTurn(work, note, onGone);
        }
    }

    private void requireLimit(Work work, long nowMs) throws RefusedException {
        Optional<Refusal> refusal = limits.tryAcquire(work.workspace(), nowMs);
        if (refusal.isPresent()) {
            throw new RefusedException(refusal.get());
        }
    }

    private void awaitTurn(Work work, ReleaseNote note, Consumer<Runnable> onGone) throws RefusedException {
        CompletableFuture<Admission.Verdict> verdict = new CompletableFuture<>();
        waiting.put(work.request(), verdict);
        pools.add(work.pool());
        onGone.accept(() -> verdict.complete(CALLER_GONE));
        try {
            lane.run(() -> arrive(work, note, verdict));
            require(verdict.get(Math.max(1, work.deadlineMs() - clock.nowMs()), TimeUnit.MILLISECONDS));
        } catch (TimeoutException e) {
            throw refused(RefusalType.OVERLOADED, "pool \"" + work.pool() + "\" stayed full until the deadline");
        } catch (ExecutionException e) {
            throw new IllegalStateException("admission failed for request " + work.request(), e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw refused(RefusalType.DRAINING, "the instance is stopping");
        } finally {
            waiting.remove(work.request());
            lane.run(() -> admission.abandon(work.request()));
        }
    }

    private void arrive(Work work, ReleaseNote note, CompletableFuture<Admission.Verdict> verdict) {
        long nowMs = clock.nowMs();
        double waitMs = policy.predictedWaitMs(work, note, state.fleet(), nowMs);
        Admission.Verdict decided =
                admission.arrive(work, waitMs, (double) note.weights().firstTokenTargetMs(), nowMs);
        if (decided instanceof Admission.Wait wait) {
            wait.displaced().forEach(this::release);
            return;
        }
        verdict.complete(decided);
    }

    private static void require(Admission.Verdict verdict) throws RefusedException {
        if (verdict instanceof Admission.Refuse refuse) {
            throw new RefusedException(refuse.refusal());
        }
    }

    private void release(Admission.Released released) {
        CompletableFuture<Admission.Verdict> verdict =
                waiting.get(released.work().request());
        if (verdict != null) {
            verdict.complete(released.verdict());
        }
    }

    /**
     * Lets waiting requests of a pool through as far as it can take them.
     *
     * @param pool a pool whose load may have fallen
     */
    public void advance(PoolId pool) {
        if (!waiting.isEmpty()) {
            lane.run(() -> advanceInLane(pool));
        }
    }

    private void advanceInLane(PoolId pool) {
        Optional<ReleaseNote> note = state.note();
        if (note.isEmpty()) {
            return;
        }
        long nowMs = clock.nowMs();
        double targetMs = note.get().weights().firstTokenTargetMs();
        while (admission.waiting(pool) > 0) {
            Optional<Admission.Released> next = admission.next(
                    pool, work -> policy.predictedWaitMs(work, note.get(), state.fleet(), nowMs), targetMs, nowMs);
            if (next.isEmpty()) {
                break;
            }
            release(next.get());
        }
        policy.queueWait(pool, admission.queueWaitMs(pool));
    }

    /** Lets waiting requests of all pools through; to be called at an interval, as load reports come in. */
    public void advanceAll() {
        pools.forEach(this::advance);
    }

    /** Forgets idle workspaces and follows the set of peers; to be called at an interval. */
    public void tidy() {
        long nowMs = clock.nowMs();
        Map<InstanceId, Region> peers = new HashMap<>();
        for (InstanceView peer : state.fleet().peers()) {
            if (peer.health() != Health.LEAVING) {
                peers.put(peer.id(), peer.region());
            }
        }
        limits.peers(peers);
        limits.expire(nowMs);
        lane.run(() -> admission.expire(nowMs));
    }

    /**
     * Returns the greatest demands of workspaces at this instance, for its peers.
     *
     * @return demands of declared workspaces
     */
    public List<OwnDemand> demands() {
        List<OwnDemand> demands = new ArrayList<>();
        limits.demand(MOST_DEMANDS, clock.nowMs())
                .forEach((id, perSecond) -> state.note()
                        .flatMap(note -> note.workspace(id))
                        .ifPresent(workspace -> demands.add(new OwnDemand(id, workspace.home(), perSecond))));
        return demands;
    }

    /**
     * Takes in what a peer told of its demands.
     *
     * @param gossip the peer's message
     */
    public void heard(Gossip gossip) {
        Map<WorkspaceId, Double> demand = new HashMap<>();
        gossip.demands().forEach(one -> demand.put(one.workspace(), one.perSecond()));
        limits.peerDemand(gossip.from().id(), demand, clock.nowMs());
    }

    /**
     * Counts the requests that wait.
     *
     * @return requests in all queues
     */
    public int size() {
        return waiting.size();
    }

    private static RefusedException refused(RefusalType type, String message) {
        return new RefusedException(Refusal.of(type, message, Fate.NOT_RUN));
    }
}
