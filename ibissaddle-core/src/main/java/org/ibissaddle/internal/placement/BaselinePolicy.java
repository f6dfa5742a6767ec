package org.ibissaddle.internal.placement;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.ToIntFunction;
import java.util.random.RandomGenerator;
import org.ibissaddle.fleet.FleetView;
import org.ibissaddle.fleet.Health;
import org.ibissaddle.fleet.InstanceView;
import org.ibissaddle.fleet.ServerView;
import org.ibissaddle.id.Region;
import org.ibissaddle.id.ServerId;
import org.ibissaddle.note.ReleaseNote;
import org.ibissaddle.outcome.ExecutionStatus;
import org.ibissaddle.outcome.Refusal;
import org.ibissaddle.outcome.RefusalType;
import org.ibissaddle.placement.Placement;
import org.ibissaddle.placement.PlacementPolicy;
import org.ibissaddle.placement.PlacementRequest;
import org.ibissaddle.placement.RegionBinding;

/**
 * Simple policies that serve as baselines for the production policy. They enforce the same workspace binding and hop
 * limit.
 */
public final class BaselinePolicy implements PlacementPolicy {
    private final Rule rule;
    private final AtomicInteger nextIndex = new AtomicInteger();
    private final Map<ServerId, AtomicInteger> outstanding = new ConcurrentHashMap<>();

    /** Rule for choosing a server. */
    public enum Rule {
        /** Round robin. */
        ROUND_ROBIN,
        /** Fewest requests outstanding from this instance. */
        LEAST_OUTSTANDING,
        /** Fewest running and queued requests in the last load report. */
        LEAST_REPORTED,
        /** Least loaded region, then fewest requests outstanding from this instance. */
        ALWAYS_SPILL,
        /** Hash of the prompt's first block. */
        PREFIX_AFFINITY
    }

    /**
     * Creates a policy.
     *
     * @param rule rule for choosing a server
     */
    public BaselinePolicy(Rule rule) {
        this.rule = rule;
    }

    @Override
    public Placement place(
            PlacementRequest request, ReleaseNote note, FleetView fleet, long nowMs, RandomGenerator random) {
        Optional<Refusal> refusal = RegionBinding.check(request.workspace().id(), request.forwardedBy(), note, fleet);
        if (refusal.isPresent()) {
            return new Placement.Refuse(refusal.get());
        }
        if (rule == Rule.ALWAYS_SPILL) {
            Optional<InstanceView> peer = leastLoadedPeer(request, note, fleet);
            if (peer.isPresent()) {
                return new Placement.Forward(peer.get());
            }
        }
        List<ServerView> usable = fleet.servers().stream()
                .filter(server -> server.pool().equals(request.pool()))
                .filter(server -> server.region().equals(fleet.self().region()))
                .filter(server -> server.health() == Health.LIVE)
                .filter(server -> request.model().isEmpty()
                        || server.models().contains(request.model().get()))
                .filter(server -> !request.excludedServers().contains(server.id()))
                .toList();
        if (usable.isEmpty()) {
            String message = "no server of pool \"" + request.pool() + "\" can take the request";
            return new Placement.Refuse(Refusal.of(RefusalType.NO_SERVER, message, ExecutionStatus.NOT_RUN));
        }
        return new Placement.Serve(chooseServer(request, usable));
    }

    @Override
    public DispatchHandle recordDispatch(PlacementRequest request, Placement placement, long nowMs) {
        if (!(placement instanceof Placement.Serve serve)) {
            return NoOpDispatchHandle.INSTANCE;
        }
        AtomicInteger count = outstandingCount(serve.server());
        count.incrementAndGet();
        return new CountedRunning(count);
    }

    private ServerView chooseServer(PlacementRequest request, List<ServerView> usable) {
        return switch (rule) {
            case ROUND_ROBIN -> usable.get(Math.floorMod(nextIndex.getAndIncrement(), usable.size()));
            case LEAST_OUTSTANDING, ALWAYS_SPILL ->
                minBy(usable, server -> outstandingCount(server).get());
            case LEAST_REPORTED ->
                minBy(usable, server -> server.load().running() + server.load().queued());
            case PREFIX_AFFINITY ->
                usable.get(Math.floorMod(
                        request.prefix().isEmpty()
                                ? nextIndex.getAndIncrement()
                                : PrefixIndex.mix(request.prefix().getFirst()),
                        usable.size()));
        };
    }

    private static ServerView minBy(List<ServerView> servers, ToIntFunction<ServerView> key) {
        return servers.stream().min(Comparator.comparingInt(key)).orElseThrow();
    }

    private static Optional<InstanceView> leastLoadedPeer(PlacementRequest request, ReleaseNote note, FleetView fleet) {
        Region here = fleet.self().region();
        return fleet.peers().stream()
                .filter(peer -> peer.health() == Health.LIVE)
                .filter(peer -> peer.load() < fleet.self().load())
                .filter(peer -> RegionBinding.mayForward(
                        request.workspace().id(), peer.region(), request.forwardedBy(), note, here))
                .min(Comparator.comparingDouble(InstanceView::load));
    }

    private AtomicInteger outstandingCount(ServerView server) {
        return outstanding.computeIfAbsent(server.id(), id -> new AtomicInteger());
    }

    private record CountedRunning(AtomicInteger count, AtomicBoolean ended) implements DispatchHandle {
        CountedRunning(AtomicInteger count) {
            this(count, new AtomicBoolean());
        }

        @Override
        public void firstToken(long nowMs) {}

        @Override
        public void generated(int tokens) {}

        @Override
        public void completed(boolean succeeded, long nowMs) {
            if (ended.compareAndSet(false, true)) {
                count.decrementAndGet();
            }
        }
    }
}
