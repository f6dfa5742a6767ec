package org.ibissaddle.standins.internal.engine;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.ibissaddle.standins.EngineOrder;
import org.ibissaddle.standins.EngineStats;

/** Counts what an engine does, over all its incarnations. */
public final class EngineCounters {
    private final List<EngineOrder> orders = new ArrayList<>();
    private final Map<String, Integer> seen = new TreeMap<>();
    private long requests;
    private long finished;
    private long prefilledTokens;
    private long hitTokens;
    private long decodedTokens;
    private long cancels;
    private long crashes;

    /** A request was accepted. */
    public void accepted(String requestId) {
        requests++;
        seen.merge(requestId, 1, Integer::sum);
    }

    /** An answer was generated to the end. */
    public void finished() {
        finished++;
    }

    /** Prompt tokens were read without the cache. */
    public void prefilled(int tokens) {
        prefilledTokens += tokens;
    }

    /** Prompt tokens were found in the cache. */
    public void hit(int tokens) {
        hitTokens += tokens;
    }

    /** A word was generated. */
    public void decoded() {
        decodedTokens++;
    }

    /** A request was cancelled. */
    public void cancelled() {
        cancels++;
    }

    /** The engine crashed. */
    public void crashed() {
        crashes++;
    }

    /** An order was applied. */
    public void applied(EngineOrder order) {
        orders.add(order);
    }

    /** The share of prompt tokens that the cache saved. */
    public double hitRate() {
        long all = hitTokens + prefilledTokens;
        return all == 0 ? 0 : (double) hitTokens / all;
    }

    /** A copy of all counts. */
    public EngineStats snapshot() {
        return new EngineStats(
                requests,
                finished,
                prefilledTokens,
                hitTokens,
                decodedTokens,
                cancels,
                crashes,
                List.copyOf(orders),
                Map.copyOf(seen));
    }
}
