package org.ibissaddle.internal.placement;

import java.util.List;
import java.util.random.RandomGenerator;
import org.ibissaddle.placement.Tuning;
import org.ibissaddle.placement.Work;

/** Chooses a server: those that hold the prefix, the one that all instances would choose, and some at random. */
final class Chooser {
    private static final int MAX_HOLDERS = 4;
    private static final double DECODE_WEIGHT = 0.1;
    /** What reading a prompt again costs others on a server that is not the prompt's owner: a wait and an eviction. */
    private static final double MISS_WEIGHT = 2;

    private static final int DRAWS = 4;

    private final Tuning tuning;
    private final PrefixIndex prefixes;

    /**
     * A choice.
     *
     * @param server the server, null when none was found
     * @param firstTokenMs predicted time to the first token
     * @param score what the choice was made by, lower is better
     */
    record Choice(Candidate server, double firstTokenMs, double score) {
        static final Choice NONE = new Choice(null, Double.POSITIVE_INFINITY, Double.POSITIVE_INFINITY);

        boolean found() {
            return server != null;
        }
    }

    Chooser(Tuning tuning, PrefixIndex prefixes) {
        this.tuning = tuning;
        this.prefixes = prefixes;
    }

    /** Chooses a server; suspect ones only when no other is left. */
    Choice choose(Work work, Candidates all, PoolState pool, long nowMs, RandomGenerator random) {
        Choice best = holders(work, all, pool, nowMs, random);
        best = owner(work, all, pool, best, nowMs, random);
        for (int i = 0; i < tuning.samples(); i++) {
            best = better(best, draw(work, all.live, pool, nowMs, random), work, random, MISS_WEIGHT);
        }
        if (!best.found()) {
            best = any(work, all.live, pool, nowMs, random);
        }
        return best.found() ? best : any(work, all.suspect, pool, nowMs, random);
    }

    /** Predicted wait on the best server, infinite when there is none. */
    double best(Work work, Candidates all, PoolState pool, long nowMs) {
        double best = Double.POSITIVE_INFINITY;
        for (Candidate c : all.live.length > 0 ? all.live : all.suspect) {
            if (open(c, work, pool, nowMs)) {
                best = Math.min(best, c.firstTokenMs(uncached(work, c.state)));
            }
        }
        return best;
    }

    /** Prompt tokens that a server would have to read. */
    double uncached(Work work, ServerState state) {
        List<Long> chain = work.prefix();
        if (chain.isEmpty()) {
            return work.promptTokens();
        }
        int hit = prefixes.match(chain, state);
        double share = (double) hit / chain.size() * state.confidence();
        return work.promptTokens() * (1 - share);
    }

    private Choice holders(Work work, Candidates all, PoolState pool, long nowMs, RandomGenerator random) {
        Choice best = Choice.NONE;
        if (work.prefix().isEmpty()) {
            return best;
        }
        int[] numbers = new int[MAX_HOLDERS];
        int n = prefixes.holders(work.prefix(), numbers);
        for (int i = 0; i < n; i++) {
            Candidate c = all.numbered(numbers[i]);
            if (c != null && open(c, work, pool, nowMs)) {
                best = better(best, c, work, random, MISS_WEIGHT);
            }
        }
        return best;
    }

    private Choice owner(Work work, Candidates all, PoolState pool, Choice best, long nowMs, RandomGenerator random) {
        if (work.prefix().isEmpty()) {
            return best;
        }
        Candidate owner = all.owner(PrefixIndex.mix(work.prefix().getFirst()));
        boolean usable = owner != null && open(owner, work, pool, nowMs);
        return usable ? better(best, owner, work, random, 0) : best;
    }

    private Candidate draw(Work work, Candidate[] from, PoolState pool, long nowMs, RandomGenerator random) {
        for (int i = 0; i < DRAWS && from.length > 0; i++) {
            Candidate c = from[random.nextInt(from.length)];
            if (open(c, work, pool, nowMs)) {
                return c;
            }
        }
        return null;
    }

    private Choice any(Work work, Candidate[] from, PoolState pool, long nowMs, RandomGenerator random) {
        int start = from.length == 0 ? 0 : random.nextInt(from.length);
        for (int i = 0; i < from.length; i++) {
            Candidate c = from[(start + i) % from.length];
            if (open(c, work, pool, nowMs)) {
                return better(Choice.NONE, c, work, random, MISS_WEIGHT);
            }
        }
        return Choice.NONE;
    }

    private Choice better(Choice best, Candidate c, Work work, RandomGenerator random, double missWeight) {
        if (c == null) {
            return best;
        }
        double uncached = uncached(work, c.state);
        double firstToken = c.firstTokenMs(uncached);
        double whole = firstToken + DECODE_WEIGHT * c.decodeMs() + missWeight * c.prefillMs(uncached);
        double score = whole * (1 + tuning.jitter() * random.nextDouble());
        return score < best.score ? new Choice(c, firstToken, score) : best;
    }

    private static boolean open(Candidate c, Work work, PoolState pool, long nowMs) {
        return !work.tried().contains(c.state.id) && !pool.ejections.isEjected(c.state.id, nowMs);
    }
}
