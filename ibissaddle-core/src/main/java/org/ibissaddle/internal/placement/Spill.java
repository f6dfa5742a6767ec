package org.ibissaddle.internal.placement;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.random.RandomGenerator;
import org.ibissaddle.fleet.InstanceView;
import org.ibissaddle.id.Region;
import org.ibissaddle.note.Link;
import org.ibissaddle.note.ObjectiveWeights;
import org.ibissaddle.note.ReleaseNote;
import org.ibissaddle.note.SpillRules;
import org.ibissaddle.note.Workspace;
import org.ibissaddle.placement.PlacementRequest;
import org.ibissaddle.placement.RegionBinding;

/**
 * Decides whether unbound work is forwarded to another region, and to which, by the rules and weights of the release
 * note.
 */
final class Spill {
    private static final double BYTES_PER_GIGABYTE = 1e9;
    private static final double TOKENS_PER_PRICE_UNIT = 1e6;
    /** Wait that a local refusal is counted as, in multiples of the first-token target. */
    private static final double REFUSAL_COST_TARGETS = 6;

    private static final double MAX_PEER_LOAD = 0.7;
    private static final double SPARE_CAPACITY_HORIZON_S = 2;

    private final Map<Region, RemoteRegion> regions = new ConcurrentHashMap<>();

    /**
     * Estimates for serving a request in the local region.
     *
     * @param firstTokenMs predicted time to the first token, including the local queue
     * @param refused whether the request would be refused locally
     * @param prefillMs time to prefill the whole prompt
     * @param tokens expected output tokens
     */
    record LocalEstimate(double firstTokenMs, boolean refused, double prefillMs, double tokens) {}

    RemoteRegion region(Region region) {
        RemoteRegion existing = regions.get(region);
        return existing != null ? existing : regions.computeIfAbsent(region, r -> new RemoteRegion());
    }

    /** Returns whether work was recently forwarded to any region. */
    boolean sending(long nowMs) {
        for (RemoteRegion region : regions.values()) {
            if (region.direction.sending(nowMs)) {
                return true;
            }
        }
        return false;
    }

    /** Selects the peer to forward work to, if that is better than serving or refusing it locally. */
    Optional<InstanceView> selectPeer(
            PlacementRequest request,
            ReleaseNote note,
            PlacementSnapshot snapshot,
            PoolState pool,
            LocalEstimate local,
            long nowMs,
            RandomGenerator random) {
        SpillRules rules = note.spill();
        if (!rules.enabled() || !pool.withinForwardShare(rules.maxShare())) {
            return Optional.empty();
        }
        boolean overThreshold = pool.spilling(rules.startAbove(), rules.stopBelow())
                && pool.load() >= loadThreshold(rules, request.priority());
        if (!overThreshold && !local.refused) {
            return Optional.empty();
        }
        InstanceView best = null;
        double bestGain = 0;
        for (Map.Entry<Region, List<InstanceView>> entry : snapshot.livePeers.entrySet()) {
            Region there = entry.getKey();
            if (!RegionBinding.mayForward(
                    request.workspace().id(),
                    there,
                    request.forwardedBy(),
                    note,
                    snapshot.fleet.self().region())) {
                continue;
            }
            InstanceView peer = lessLoadedOfTwo(entry.getValue(), random);
            double gain = isEligible(there, peer, rules, nowMs) ? gain(request, note, snapshot, peer, local, nowMs) : 0;
            if (gain > bestGain) {
                best = peer;
                bestGain = gain;
            }
        }
        if (best == null || !region(best.region()).direction.trySend(nowMs)) {
            return Optional.empty();
        }
        region(best.region())
                .linkBudget
                .consume(bytes(request, local.tokens), budgetRate(note, snapshot, best.region()), nowMs);
        return Optional.of(best);
    }

    /** Bytes that a forwarded request transfers over the link in both directions. */
    static double bytes(PlacementRequest request, double outputTokens) {
        return request.promptTokens() * WorkCosts.BYTES_PER_TOKEN + outputTokens * WorkCosts.BYTES_PER_STREAMED_TOKEN;
    }

    /** Share of a link's bandwidth that forwarded work may use, bytes per second. */
    static double linkRate(ReleaseNote note, Region here, Region there) {
        return note.link(here, there)
                .map(link -> link.bytesPerSecond() * note.spill().linkShare())
                .orElse(0.0);
    }

    /** Part of {@link #linkRate} that each instance of the local region may use, bytes per second. */
    private static double budgetRate(ReleaseNote note, PlacementSnapshot snapshot, Region there) {
        return linkRate(note, snapshot.fleet.self().region(), there) / snapshot.instancesInRegion;
    }

    private static double loadThreshold(SpillRules rules, int priority) {
        double span = Math.max(rules.startAbove() - rules.stopBelow(), 0);
        return rules.stopBelow() + span * 2 * priority / Workspace.MAX_PRIORITY;
    }

    private boolean isEligible(Region there, InstanceView peer, SpillRules rules, long nowMs) {
        RemoteRegion region = region(there);
        double maxLoad = Math.min(MAX_PEER_LOAD, rules.startAbove());
        return peer.load() < maxLoad
                && region.outstandingTokens.get() < peer.spare() * SPARE_CAPACITY_HORIZON_S
                && !region.isBackingOff(nowMs)
                && !region.direction.accepting(nowMs);
    }

    private double gain(
            PlacementRequest request,
            ReleaseNote note,
            PlacementSnapshot snapshot,
            InstanceView peer,
            LocalEstimate local,
            long nowMs) {
        Region here = snapshot.fleet.self().region();
        Optional<Link> link = note.link(here, peer.region());
        if (link.isEmpty()) {
            return 0;
        }
        double bytes = bytes(request, local.tokens);
        double rate = linkRate(note, here, peer.region());
        RemoteRegion region = region(peer.region());
        if (!region.linkBudget.fits(bytes, budgetRate(note, snapshot, peer.region()), nowMs)) {
            return 0;
        }
        ObjectiveWeights weights = note.weights();
        double target = Math.max(1, weights.firstTokenTargetMs());
        double promptTransferMs = request.promptTokens() * WorkCosts.BYTES_PER_TOKEN / rate * WorkCosts.MS_PER_SECOND;
        double remoteMs = peer.load() * target + local.prefillMs + link.get().roundTripMs() + promptTransferMs;
        if (nowMs + remoteMs > request.deadlineMs()) {
            return 0;
        }
        double localWaitMs =
                local.refused ? Math.max(local.firstTokenMs, REFUSAL_COST_TARGETS * target) : local.firstTokenMs;
        double savedMs = Math.min(localWaitMs, 2 * REFUSAL_COST_TARGETS * target) - remoteMs;
        double extraCost = extraCost(request, note, link.get(), bytes, local);
        return weights.tail() * savedMs / target - weights.cost() * extraCost - weights.sentAway();
    }

    /** Returns the extra cost of serving a request remotely, relative to the cost of serving it locally. */
    private static double extraCost(
            PlacementRequest request, ReleaseNote note, Link link, double bytes, LocalEstimate local) {
        double price = Optional.ofNullable(note.pools().get(request.pool()))
                .map(pool -> pool.pricePerMillionTokens())
                .orElse(0.0);
        double localCost =
                (request.promptTokens() * WorkCosts.PREFILL_TOKEN_COST + local.tokens) * price / TOKENS_PER_PRICE_UNIT;
        double transferCost = bytes * link.pricePerGigabyte() / BYTES_PER_GIGABYTE;
        double coldPrefillCost = local.refused
                ? 0
                : request.promptTokens() * WorkCosts.PREFILL_TOKEN_COST * price / TOKENS_PER_PRICE_UNIT;
        return localCost <= 0 ? 0 : (transferCost + coldPrefillCost) / localCost;
    }

    private static InstanceView lessLoadedOfTwo(List<InstanceView> peers, RandomGenerator random) {
        InstanceView a = peers.get(random.nextInt(peers.size()));
        InstanceView b = peers.get(random.nextInt(peers.size()));
        return a.load() <= b.load() ? a : b;
    }
}
