package org.ibissaddle.internal.placement;

import java.util.List;
import java.util.random.RandomGenerator;
import org.ibissaddle.placement.PlacementRequest;
import org.ibissaddle.placement.PlacementTuning;

/**
 * Selects the server with the lowest score among the holders of the longest known prefix, the owner of the prompt's
 * first block on the hash ring, and a few servers sampled at random.
 */
final class ServerSelector {
    private static final int MAX_HOLDERS = 4;
    private static final double DECODE_BACKLOG_WEIGHT = 0.1;
    /**
     * Penalty for serving a prompt on a server other than its owner, even on a cache hit, as a fraction of the prompt's
     * prefill time: the cache then keeps a second copy.
     */
    private static final double DUPLICATE_PREFIX_WEIGHT = 0.3;

    private static final int MAX_SAMPLE_ATTEMPTS = 4;

    private final PlacementTuning tuning;
    private final PrefixIndex prefixes;

    /**
     * Result of a selection.
     *
     * @param server the selected server, or null when none is eligible
     * @param firstTokenMs predicted time to the first token
     * @param score score of the server, lower is better
     */
    record Selection(Candidate server, double firstTokenMs, double score) {
        static final Selection NONE = new Selection(null, Double.POSITIVE_INFINITY, Double.POSITIVE_INFINITY);

        boolean found() {
            return server != null;
        }
    }

    ServerSelector(PlacementTuning tuning, PrefixIndex prefixes) {
        this.tuning = tuning;
        this.prefixes = prefixes;
    }

    /** Selects a server. Suspect servers are used only when no live server is eligible. */
    Selection select(
            PlacementRequest request,
            Candidates all,
            PoolState pool,
            double missWeight,
            long nowMs,
            RandomGenerator random) {
        Selection best = bestHolder(request, all, pool, missWeight, nowMs, random);
        best = betterOfOwner(request, all, pool, best, nowMs, random);
        for (int i = 0; i < tuning.samples(); i++) {
            best = lowerScore(best, sample(request, all.live, pool, nowMs, random), request, random, missWeight);
        }
        if (!best.found()) {
            best = firstEligible(request, all.live, pool, missWeight, nowMs, random);
        }
        return best.found() ? best : firstEligible(request, all.suspect, pool, missWeight, nowMs, random);
    }

    /** Returns the lowest predicted time to the first token; infinite when no server is eligible. */
    double bestFirstTokenMs(PlacementRequest request, Candidates all, PoolState pool, long nowMs) {
        double best = Double.POSITIVE_INFINITY;
        for (Candidate c : all.live.length > 0 ? all.live : all.suspect) {
            if (isEligible(c, request, pool, nowMs)) {
                best = Math.min(best, c.firstTokenMs(uncached(request, c.state)));
            }
        }
        return best;
    }

    /** Estimates the prompt tokens that a server would have to prefill. */
    double uncached(PlacementRequest request, ServerState state) {
        List<Long> chain = request.prefix();
        if (chain.isEmpty()) {
            return request.promptTokens();
        }
        int cachedBlocks = prefixes.match(chain, state);
        double cachedShare = (double) cachedBlocks / chain.size() * state.confidence();
        return request.promptTokens() * (1 - cachedShare);
    }

    private Selection bestHolder(
            PlacementRequest request,
            Candidates all,
            PoolState pool,
            double missWeight,
            long nowMs,
            RandomGenerator random) {
        Selection best = Selection.NONE;
        if (request.prefix().isEmpty()) {
            return best;
        }
        int[] numbers = new int[MAX_HOLDERS];
        int holderCount = prefixes.holders(request.prefix(), numbers);
        for (int i = 0; i < holderCount; i++) {
            Candidate c = all.withNumber(numbers[i]);
            if (c != null && isEligible(c, request, pool, nowMs)) {
                best = lowerScore(best, c, request, random, missWeight);
            }
        }
        return best;
    }

    private Selection betterOfOwner(
            PlacementRequest request,
            Candidates all,
            PoolState pool,
            Selection best,
            long nowMs,
            RandomGenerator random) {
        if (request.prefix().isEmpty()) {
            return best;
        }
        Candidate owner = all.owner(PrefixIndex.mix(request.prefix().getFirst()));
        boolean usable = owner != null && isEligible(owner, request, pool, nowMs);
        return usable ? lowerScore(best, owner, request, random, 0) : best;
    }

    private Candidate sample(
            PlacementRequest request, Candidate[] servers, PoolState pool, long nowMs, RandomGenerator random) {
        for (int i = 0; i < MAX_SAMPLE_ATTEMPTS && servers.length > 0; i++) {
            Candidate c = servers[random.nextInt(servers.length)];
            if (isEligible(c, request, pool, nowMs)) {
                return c;
            }
        }
        return null;
    }

    private Selection firstEligible(
            PlacementRequest request,
            Candidate[] servers,
            PoolState pool,
            double missWeight,
            long nowMs,
            RandomGenerator random) {
        int start = servers.length == 0 ? 0 : random.nextInt(servers.length);
        for (int i = 0; i < servers.length; i++) {
            Candidate c = servers[(start + i) % servers.length];
            if (isEligible(c, request, pool, nowMs)) {
                return lowerScore(Selection.NONE, c, request, random, missWeight);
            }
        }
        return Selection.NONE;
    }

    private Selection lowerScore(
            Selection best, Candidate c, PlacementRequest request, RandomGenerator random, double missWeight) {
        if (c == null) {
            return best;
        }
        double uncached = uncached(request, c.state);
        double firstTokenMs = c.firstTokenMs(uncached);
        double missPenaltyTokens =
                missWeight * uncached + (missWeight > 0 ? DUPLICATE_PREFIX_WEIGHT * request.promptTokens() : 0);
        double costMs = firstTokenMs + DECODE_BACKLOG_WEIGHT * c.decodeMs() + c.prefillMs(missPenaltyTokens);
        double score = costMs * (1 + tuning.jitter() * random.nextDouble());
        return score < best.score ? new Selection(c, firstTokenMs, score) : best;
    }

    private static boolean isEligible(Candidate c, PlacementRequest request, PoolState pool, long nowMs) {
        return !request.excludedServers().contains(c.state.id) && !pool.ejections.isEjected(c.state.id, nowMs);
    }
}
