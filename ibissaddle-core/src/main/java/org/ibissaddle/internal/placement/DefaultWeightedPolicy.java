package org.ibissaddle.internal.placement;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import java.util.random.RandomGenerator;
import org.ibissaddle.fleet.FleetView;
import org.ibissaddle.fleet.InstanceView;
import org.ibissaddle.fleet.ServerView;
import org.ibissaddle.id.PoolId;
import org.ibissaddle.id.Region;
import org.ibissaddle.id.ServerId;
import org.ibissaddle.note.ReleaseNote;
import org.ibissaddle.outcome.ExecutionStatus;
import org.ibissaddle.outcome.Refusal;
import org.ibissaddle.outcome.RefusalType;
import org.ibissaddle.placement.Placement;
import org.ibissaddle.placement.PlacementRequest;
import org.ibissaddle.placement.PlacementTuning;
import org.ibissaddle.placement.RegionBinding;
import org.ibissaddle.placement.WeightedPolicy;

/**
 * The production policy. Shared state is kept in atomics. Data derived from a fleet view is computed once per view and
 * replaced as a whole.
 */
public final class DefaultWeightedPolicy implements WeightedPolicy {
    private static final long MIN_RETRY_MS = 200;
    private static final long MAX_RETRY_MS = 30_000;
    private static final double CACHE_MISS_WEIGHT = 2;
    private static final double COST_CACHE_MISS_WEIGHT = 6;
    private static final int MAX_SERVER_NUMBERS = 1 << 14;

    private final PlacementTuning tuning;
    private final PrefixIndex prefixes;
    private final ServerSelector serverSelector;
    private final Spill spill = new Spill();
    private final Map<ServerId, ServerState> servers = new ConcurrentHashMap<>();
    private final Map<PoolId, PoolState> pools = new ConcurrentHashMap<>();
    private final AtomicInteger nextServerNumber = new AtomicInteger();
    private final AtomicReference<PlacementSnapshot> snapshot = new AtomicReference<>();

    /**
     * Creates a policy without any learned state.
     *
     * @param tuning tuning constants of the policy
     */
    public DefaultWeightedPolicy(PlacementTuning tuning) {
        this.tuning = tuning;
        prefixes = new PrefixIndex(tuning.prefixSlots());
        serverSelector = new ServerSelector(tuning, prefixes);
    }

    @Override
    public Placement place(
            PlacementRequest request, ReleaseNote note, FleetView fleet, long nowMs, RandomGenerator random) {
        Optional<Refusal> bindingRefusal =
                RegionBinding.check(request.workspace().id(), request.forwardedBy(), note, fleet);
        if (bindingRefusal.isPresent()) {
            return new Placement.Refuse(bindingRefusal.get());
        }
        if (request.deadlineMs() <= nowMs) {
            return refuse(RefusalType.DEADLINE_PASSED, "the deadline of the request has passed");
        }
        PoolState pool = poolState(request.pool());
        PlacementSnapshot current = snapshotOf(fleet, nowMs);
        ServerSelector.Selection selection = serverSelector.select(
                request,
                current.candidates(request.pool(), request.model()),
                pool,
                cacheMissWeight(note),
                nowMs,
                random);
        double target = Math.max(1, note.weights().firstTokenTargetMs());
        if (!request.forwarded()) {
            pool.recordArrival(nowMs);
        }
        if (selection.found()) {
            pool.observe((selection.firstTokenMs() + pool.queueWaitMs()) / target, nowMs);
        }
        if (request.forwarded()) {
            Optional<Refusal> refusal = refuseForwarded(request, note, pool, nowMs);
            if (refusal.isPresent()) {
                return new Placement.Refuse(refusal.get());
            }
        } else if (tuning.spill()) {
            Optional<InstanceView> peer = selectPeer(request, note, current, pool, selection, nowMs, random);
            if (peer.isPresent()) {
                return new Placement.Forward(peer.get());
            }
        }
        return placeLocally(request, selection, nowMs);
    }

    @Override
    public DispatchHandle recordDispatch(PlacementRequest request, Placement placement, long nowMs) {
        return switch (placement) {
            case Placement.Serve serve -> startServed(request, serve.server(), nowMs);
            case Placement.Forward forward -> startForwarded(request, forward.peer());
            case Placement.Refuse refuse -> NoOpDispatchHandle.INSTANCE;
        };
    }

    @Override
    public double predictedWaitMs(PlacementRequest request, ReleaseNote note, FleetView fleet, long nowMs) {
        Candidates candidates = snapshotOf(fleet, nowMs).candidates(request.pool(), request.model());
        return serverSelector.bestFirstTokenMs(request, candidates, poolState(request.pool()), nowMs);
    }

    @Override
    public Forecast forecast(PoolId id, ReleaseNote note, FleetView fleet, long nowMs) {
        PlacementSnapshot current = snapshotOf(fleet, nowMs);
        Candidates candidates = current.candidates(id);
        PoolState pool = poolState(id);
        double target = Math.max(1, note.weights().firstTokenTargetMs());
        double wait = 0;
        double capacity = 0;
        for (Candidate c : candidates.live) {
            wait += c.firstTokenMs(0);
            capacity += c.tokensPerSecond();
        }
        double load = candidates.live.length == 0 ? 1 : (wait / candidates.live.length + pool.queueWaitMs()) / target;
        double spareCapacity = capacity * (1 - load - note.spill().remoteReserve());
        double offeredCapacity = spill.sending(nowMs) ? 0 : spareCapacity;
        return new Forecast(load, Math.max(0, offeredCapacity), current.hitRate(id), pool.ejections.count(nowMs));
    }

    @Override
    public void setQueueWaitMs(PoolId id, double waitMs) {
        poolState(id).setQueueWaitMs(waitMs);
    }

    @Override
    public void recordCacheEvent(ServerId server, long block, boolean stored, long nowMs) {
        ServerState state = servers.get(server);
        if (state == null) {
            return;
        }
        state.recordCacheEvent();
        if (stored) {
            prefixes.add(block, state);
        } else {
            prefixes.remove(block, state);
        }
    }

    @Override
    public void recordCacheEventLoss(ServerId server) {
        ServerState state = servers.get(server);
        if (state != null) {
            state.recordCacheGap();
        }
    }

    private Placement placeLocally(PlacementRequest request, ServerSelector.Selection selection, long nowMs) {
        if (!selection.found()) {
            return new Placement.Refuse(Refusal.of(
                            RefusalType.NO_SERVER,
                            "no server of pool \"" + request.pool() + "\" can take the request",
                            ExecutionStatus.NOT_RUN)
                    .withRetryAt(nowMs + MIN_RETRY_MS));
        }
        double overrunMs = nowMs + selection.firstTokenMs() - request.deadlineMs();
        if (overrunMs > 0) {
            long retryDelayMs = (long) Math.min(MAX_RETRY_MS, Math.max(MIN_RETRY_MS, overrunMs));
            String message = "predicted wait of " + Math.round(selection.firstTokenMs()) + " ms in pool \""
                    + request.pool() + "\" exceeds the deadline";
            return new Placement.Refuse(Refusal.of(RefusalType.OVERLOADED, message, ExecutionStatus.NOT_RUN)
                    .withRetryAt(nowMs + retryDelayMs));
        }
        return new Placement.Serve(selection.server().view);
    }

    private Optional<InstanceView> selectPeer(
            PlacementRequest request,
            ReleaseNote note,
            PlacementSnapshot current,
            PoolState pool,
            ServerSelector.Selection selection,
            long nowMs,
            RandomGenerator random) {
        double wait = selection.firstTokenMs() + pool.queueWaitMs();
        boolean refused = !selection.found() || nowMs + wait > request.deadlineMs();
        double prefillMs = selection.found()
                ? selection.server().prefillMs(request.promptTokens())
                : request.promptTokens()
                        * WorkCosts.PREFILL_TOKEN_COST
                        / WorkCosts.DEFAULT_TOKENS_PER_SECOND
                        * WorkCosts.MS_PER_SECOND;
        double tokens = pool.expectedOutput(request.maxTokens());
        Spill.LocalEstimate local = new Spill.LocalEstimate(wait, refused, prefillMs, tokens);
        return spill.selectPeer(request, note, current, pool, local, nowMs, random);
    }

    private Optional<Refusal> refuseForwarded(PlacementRequest request, ReleaseNote note, PoolState pool, long nowMs) {
        Region sender = request.forwardedBy().getLast();
        boolean overReserve = pool.load() > 1 - note.spill().remoteReserve();
        if (!overReserve && spill.region(sender).direction.tryAccept(nowMs)) {
            return Optional.empty();
        }
        String message = "this region currently accepts no requests forwarded by region \"" + sender + "\"";
        return Optional.of(Refusal.of(RefusalType.FORWARD_REFUSED, message, ExecutionStatus.NOT_RUN)
                .withRetryAt(nowMs + WorkDirection.HOLD_MS));
    }

    private DispatchHandle startServed(PlacementRequest request, ServerView server, long nowMs) {
        ServerState state = stateOf(server);
        PoolState pool = poolState(request.pool());
        PlacementSnapshot current = snapshot.get();
        int maxEjected =
                current == null ? 0 : (int) (current.candidates(request.pool()).live.length * tuning.maxEjectedShare());
        ServedWork served = new ServedWork(request, state, pool, serverSelector.uncached(request, state), nowMs);
        served.setEjection(tuning.failuresToEject(), tuning.ejectMs(), maxEjected);
        served.setPredictedFirstTokenMs(current == null ? 0 : predictedFirstTokenMs(current, request, state));
        served.begin();
        prefixes.add(request.prefix(), state);
        return served;
    }

    private double predictedFirstTokenMs(PlacementSnapshot current, PlacementRequest request, ServerState state) {
        Candidate candidate = current.candidates(request.pool()).withNumber(state.number);
        return candidate == null ? 0 : candidate.unscaledFirstTokenMs(serverSelector.uncached(request, state));
    }

    private DispatchHandle startForwarded(PlacementRequest request, InstanceView peer) {
        PoolState pool = poolState(request.pool());
        pool.recordForwarded();
        return new ForwardedWork(request, spill.region(peer.region()), pool.expectedOutput(request.maxTokens()));
    }

    private PlacementSnapshot snapshotOf(FleetView fleet, long nowMs) {
        PlacementSnapshot cached = snapshot.get();
        if (cached != null && cached.isSnapshotOf(fleet)) {
            return cached;
        }
        PlacementSnapshot created = new PlacementSnapshot(fleet, this::stateOf, nowMs);
        snapshot.set(created);
        evictRemovedServers(fleet);
        return created;
    }

    private void evictRemovedServers(FleetView fleet) {
        if (servers.size() > 2 * fleet.servers().size() + MAX_SERVER_NUMBERS / 64) {
            servers.keySet()
                    .retainAll(fleet.servers().stream().map(ServerView::id).toList());
        }
    }

    private ServerState stateOf(ServerView view) {
        ServerState cached = servers.get(view.id());
        if (cached != null && cached.matchesIncarnation(view)) {
            return cached;
        }
        return servers.compute(
                view.id(),
                (id, old) -> old != null && old.matchesIncarnation(view)
                        ? old
                        : new ServerState(
                                id,
                                view.pool(),
                                view.incarnation(),
                                nextServerNumber.getAndIncrement() % MAX_SERVER_NUMBERS));
    }

    private PoolState poolState(PoolId id) {
        PoolState cached = pools.get(id);
        return cached != null ? cached : pools.computeIfAbsent(id, p -> new PoolState());
    }

    /**
     * Returns the penalty of a cache miss beyond the request's own wait, as a multiple of the prefill time. It rises
     * with the weight of cost, because a miss also evicts another prompt and delays queued requests.
     */
    private static double cacheMissWeight(ReleaseNote note) {
        double cost = note.weights().cost();
        double totalWeight = cost + note.weights().tail();
        return totalWeight <= 0 ? CACHE_MISS_WEIGHT : CACHE_MISS_WEIGHT + COST_CACHE_MISS_WEIGHT * cost / totalWeight;
    }

    private static Placement refuse(RefusalType type, String message) {
        return new Placement.Refuse(Refusal.of(type, message, ExecutionStatus.NOT_RUN));
    }
}
