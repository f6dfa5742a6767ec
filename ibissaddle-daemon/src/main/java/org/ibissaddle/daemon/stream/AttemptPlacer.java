package org.ibissaddle.daemon.stream;

import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import org.ibissaddle.id.ServerId;
import org.ibissaddle.outcome.ExecutionStatus;
import org.ibissaddle.outcome.Refusal;
import org.ibissaddle.outcome.RefusalType;
import org.ibissaddle.outcome.RefusedException;
import org.ibissaddle.placement.Placement;
import org.ibissaddle.placement.PlacementRequest;
import org.ibissaddle.quarantine.QuarantineStatus;

/**
 * Selects the target of each attempt of one request. A request with crash marks waits for an engine that executes no
 * other marked request.
 */
final class AttemptPlacer implements AutoCloseable {
    private static final long RETRY_INTERVAL_MS = 20;

    private final ModelCallDependencies dependencies;
    private final IsolationGate gate;
    private final PlacementRequest request;
    private final byte[] body;
    private Target target;
    private CrashTracker.InFlight inFlight;

    AttemptPlacer(ModelCallDependencies dependencies, IsolationGate gate, PlacementRequest request, byte[] body) {
        this.dependencies = dependencies;
        this.gate = gate;
        this.request = request;
        this.body = body;
    }

    /** Selects the target of the next attempt and releases that of the previous one. */
    Target next(Set<ServerId> tried) throws RefusedException {
        close();
        while (true) {
            QuarantineStatus status = dependencies.crashTracker().status(body);
            if (status instanceof QuarantineStatus.Refused refused) {
                throw new RefusedException(Refusal.of(
                                RefusalType.QUARANTINED,
                                "the request is quarantined because it was in flight during crashes of backend servers",
                                ExecutionStatus.NOT_RUN)
                        .withRetryAt(refused.untilMs()));
            }
            boolean isolated = status instanceof QuarantineStatus.Isolated;
            Target candidate = findTarget(tried, isolated);
            if (candidate != null && (!isolated || gate.tryReserve(candidate.id(), this))) {
                assign(candidate);
                return candidate;
            }
            sleepBeforeRetry();
        }
    }

    private Target findTarget(Set<ServerId> tried, boolean isolated) throws RefusedException {
        Set<ServerId> unavailable = isolated ? gate.reservedServers() : new HashSet<>();
        if (isolated) {
            unavailable.addAll(dependencies.crashTracker().crashedServers());
        }
        Set<ServerId> excluded = new HashSet<>(tried);
        excluded.addAll(unavailable);
        PlacementRequest restrictedRequest = request.withExcludedServers(excluded);
        Placement placement = dependencies
                .policy()
                .place(
                        restrictedRequest,
                        dependencies.state().note().orElseThrow(),
                        dependencies.state().fleet(),
                        dependencies.clock().nowMs(),
                        ThreadLocalRandom.current());
        return switch (placement) {
            case Placement.Serve serve -> Target.of(serve.server(), placement);
            case Placement.Forward forward -> Target.of(forward.peer(), placement);
            case Placement.Refuse refuse -> {
                if (unavailable.isEmpty() || dependencies.clock().nowMs() >= request.deadlineMs()) {
                    throw new RefusedException(refuse.refusal());
                }
                yield null;
            }
        };
    }

    private void assign(Target candidate) {
        target = candidate;
        if (!candidate.peer()) {
            inFlight = dependencies
                    .crashTracker()
                    .track(candidate.id(), body, request.workspace().homeRegion());
        }
    }

    private static void sleepBeforeRetry() throws RefusedException {
        try {
            Thread.sleep(RETRY_INTERVAL_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new RefusedException(
                    Refusal.of(RefusalType.DRAINING, "the instance is stopping", ExecutionStatus.NOT_RUN));
        }
    }

    /** Releases the target of the last attempt. */
    @Override
    public void close() {
        if (target != null) {
            gate.release(target.id(), this);
        }
        if (inFlight != null) {
            inFlight.close();
        }
        target = null;
        inFlight = null;
    }
}
