package org.ibissaddle.peer;

import java.util.Optional;
import java.util.Set;
import org.ibissaddle.backend.BackendRegistry;
import org.ibissaddle.backend.RequestDemand;
import org.ibissaddle.backend.ServerSelectionResult;
import org.ibissaddle.id.Address;
import org.ibissaddle.id.Region;
import org.ibissaddle.route.Route;

/**
 * Decides whether a request is forwarded to an instance of another region: when that region answers much sooner, when
 * it presumably has the shared parts of the prompt in its prefix cache, or when the local region can't accept the
 * request. Not thread-safe; confined to one thread.
 */
public final class RegionSelector {
    /** Minimum reduction of the predicted wait that justifies forwarding, in milliseconds. */
    private static final long MIN_WAIT_REDUCTION_MS = 150;
    /** Minimum prefill time saved by a prefix cache that justifies forwarding, as a fraction of the round-trip time. */
    private static final double MIN_SAVED_PREFILL_FRACTION = 0.25;
    /** Maximum round-trip time to another region, as a fraction of the latency objective. */
    private static final double MAX_ROUND_TRIP_FRACTION = 0.25;

    private final Region localRegion;
    private final BackendRegistry backends;
    private final PeerTable peers;

    /**
     * Creates a region selector.
     *
     * @param localRegion the local region
     * @param backends the known backend servers
     * @param peers the other instances
     */
    public RegionSelector(Region localRegion, BackendRegistry backends, PeerTable peers) {
        this.localRegion = localRegion;
        this.backends = backends;
        this.peers = peers;
    }

    /**
     * A request that may be forwarded.
     *
     * @param route the matched route
     * @param service the service that handles it
     * @param demand model, token counts and prompt parts
     * @param tried instances to which it was already sent
     */
    public record Request(Route route, String service, RequestDemand demand, Set<Address> tried) {}

    /**
     * Selects an instance of another region to forward a request to.
     *
     * @param request the request
     * @param localChoice server selection result of the local region
     * @param nowMs current time, milliseconds
     * @return the instance, empty when the request is not forwarded
     */
    public Optional<PeerState> choose(Request request, ServerSelectionResult localChoice, long nowMs) {
        return switch (localChoice) {
            case ServerSelectionResult.Selected found -> fasterPeer(request, found.waitMs(), nowMs);
            case ServerSelectionResult.Held held -> fasterPeer(request, held.waitMs(), nowMs);
            case ServerSelectionResult.AtCapacity ignored -> peerWithCapacity(request, Long.MAX_VALUE, nowMs);
            case ServerSelectionResult.HeldOff ignored -> peerWithCapacity(request, Long.MAX_VALUE, nowMs);
            case ServerSelectionResult.NoServer ignored -> bestPeer(request, nowMs);
        };
    }

    private Optional<PeerState> fasterPeer(Request request, long localWaitMs, long nowMs) {
        long prefillMs = backends.prefillMs(request.service(), request.demand().promptTokens());
        Optional<PeerState> sooner = peerWithCapacity(request, localWaitMs - prefillMs - MIN_WAIT_REDUCTION_MS, nowMs);
        if (sooner.isPresent()) {
            return sooner;
        }
        long uncachedPrefillMs = backends.uncachedSharedPrefillMs(request.service(), request.demand());
        return uncachedPrefillMs == 0
                ? Optional.empty()
                : prefixOwner(request, uncachedPrefillMs, localWaitMs + uncachedPrefillMs, nowMs);
    }

    /** Prefers the region that owns the shared parts of the prompt to the one with the shortest wait. */
    private Optional<PeerState> peerWithCapacity(Request request, long maxWaitMs, long nowMs) {
        long sharedPrefillMs =
                backends.prefillMs(request.service(), request.demand().sharedTokens());
        Optional<PeerState> owner = prefixOwner(request, sharedPrefillMs, maxWaitMs, nowMs);
        return owner.isPresent()
                ? owner
                : bestPeer(request, nowMs).filter(peer -> hasCapacity(peer, request.service(), maxWaitMs));
    }

    private Optional<PeerState> bestPeer(Request request, long nowMs) {
        return peers.bestRemotePeer(
                request.service(), request.route().homeRegions(), localRegion, request.tried(), nowMs);
    }

    private Optional<PeerState> prefixOwner(Request request, long savedPrefillMs, long maxWaitMs, long nowMs) {
        Optional<Region> owningRegion = backends.preferredRegion(
                        request.service(), request.demand(), request.route().homeRegions())
                .filter(region -> !region.equals(localRegion));
        Optional<Double> roundTripMs = owningRegion.flatMap(peers::roundTripMs);
        if (roundTripMs.isEmpty() || !isForwardingWorthwhile(request.route(), savedPrefillMs, roundTripMs.get())) {
            return Optional.empty();
        }
        return peers.bestRemotePeer(request.service(), Set.of(owningRegion.get()), localRegion, request.tried(), nowMs)
                .filter(peer -> hasCapacity(peer, request.service(), maxWaitMs));
    }

    private static boolean isForwardingWorthwhile(Route route, long savedPrefillMs, double roundTripMs) {
        return savedPrefillMs >= roundTripMs * MIN_SAVED_PREFILL_FRACTION
                && roundTripMs <= route.targetLatencyMs() * MAX_ROUND_TRIP_FRACTION;
    }

    private static boolean hasCapacity(PeerState peer, String service, long maxWaitMs) {
        ServiceLoad load = peer.services().get(service);
        return load.freeSlots() > 0 && load.waitMs() < maxWaitMs;
    }
}
