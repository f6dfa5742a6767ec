package org.ibissaddle.peer;

import java.util.Optional;
import java.util.Set;
import org.ibissaddle.backend.Backends;
import org.ibissaddle.backend.Choice;
import org.ibissaddle.backend.Work;
import org.ibissaddle.id.Address;
import org.ibissaddle.id.Region;
import org.ibissaddle.route.Route;

/**
 * Decides whether a request goes to an instance of another region: when that region answers much sooner, when it
 * presumably keeps the shared parts of the prompt, or when the own region can't take it. Confined to one thread.
 */
public final class RegionChoice {
    /** How much sooner another region must answer to be worth the way there, milliseconds. */
    private static final long MARGIN_MS = 150;
    /** Reading that is saved, as a part of the way there and back, from which the way is worth it. */
    private static final double MIN_READ_SHARE = 0.25;
    /** Part of the latency objective that the way to another region and back may take. */
    private static final double ROUND_TRIP_SHARE = 0.25;

    private final Region own;
    private final Backends backends;
    private final Peers peers;

    /**
     * Makes a choice among regions.
     *
     * @param own the own region
     * @param backends the servers of the own region
     * @param peers the other instances
     */
    public RegionChoice(Region own, Backends backends, Peers peers) {
        this.own = own;
        this.backends = backends;
        this.peers = peers;
    }

    /**
     * A request that may be forwarded.
     *
     * @param route its route
     * @param service the service that answers it
     * @param work what it asks for
     * @param tried instances that have had it
     */
    public record Request(Route route, String service, Work work, Set<Address> tried) {}

    /**
     * Chooses an instance of another region.
     *
     * @param request the request
     * @param here what the own region offers
     * @param nowMs current time, milliseconds
     * @return the instance, empty when the request stays here
     */
    public Optional<PeerState> choose(Request request, Choice here, long nowMs) {
        return switch (here) {
            case Choice.Found found -> better(request, found, nowMs);
            case Choice.Busy ignored -> withRoom(request, Long.MAX_VALUE, nowMs);
            case Choice.Absent ignored -> anywhere(request, nowMs);
        };
    }

    private Optional<PeerState> better(Request request, Choice.Found here, long nowMs) {
        long readMs = backends.readMs(request.service(), request.work().promptTokens());
        Optional<PeerState> sooner = withRoom(request, here.waitMs() - readMs - MARGIN_MS, nowMs);
        if (sooner.isPresent()) {
            return sooner;
        }
        long unsharedMs = backends.unsharedReadMs(request.service(), request.work());
        return unsharedMs == 0 ? Optional.empty() : owner(request, unsharedMs, here.waitMs() + unsharedMs, nowMs);
    }

    /** The region that keeps the shared parts goes before the least busy one. */
    private Optional<PeerState> withRoom(Request request, long maxWaitMs, long nowMs) {
        long sharedMs = backends.readMs(request.service(), request.work().sharedTokens());
        Optional<PeerState> owner = owner(request, sharedMs, maxWaitMs, nowMs);
        return owner.isPresent()
                ? owner
                : anywhere(request, nowMs).filter(peer -> hasRoom(peer, request.service(), maxWaitMs));
    }

    private Optional<PeerState> anywhere(Request request, long nowMs) {
        return peers.bestFor(request.service(), request.route().homeRegions(), own, request.tried(), nowMs);
    }

    private Optional<PeerState> owner(Request request, long savedMs, long maxWaitMs, long nowMs) {
        Optional<Region> owning = backends.owningRegion(
                        request.service(), request.work(), request.route().homeRegions())
                .filter(region -> !region.equals(own));
        Optional<Double> roundTripMs = owning.flatMap(peers::roundTripMs);
        if (roundTripMs.isEmpty() || !isWorthTheWay(request.route(), savedMs, roundTripMs.get())) {
            return Optional.empty();
        }
        return peers.bestFor(request.service(), Set.of(owning.get()), own, request.tried(), nowMs)
                .filter(peer -> hasRoom(peer, request.service(), maxWaitMs));
    }

    private static boolean isWorthTheWay(Route route, long savedMs, double roundTripMs) {
        return savedMs >= roundTripMs * MIN_READ_SHARE && roundTripMs <= route.targetLatencyMs() * ROUND_TRIP_SHARE;
    }

    private static boolean hasRoom(PeerState peer, String service, long maxWaitMs) {
        ServiceLoad load = peer.services().get(service);
        return load.freeSlots() > 0 && load.waitMs() < maxWaitMs;
    }
}
