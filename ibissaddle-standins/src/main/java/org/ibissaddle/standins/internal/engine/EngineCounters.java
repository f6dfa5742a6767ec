package org.ibissaddle.standins.internal.engine;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.ibissaddle.standins.EngineOrder;
import org.ibissaddle.standins.EngineStats;

/** Activity counters of an engine, accumulated over all its incarnations. */
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

    /** Counts an accepted request. */
    public void accepted(String requestId) {
        requests++;
        seen.merge(requestId, 1, Integer::sum);
    }

    /** Counts a completely generated answer. */
    public void finished() {
        finished++;
    }

    /** Counts prompt tokens that were prefilled. */
    public void prefilled(int tokens) {
        prefilledTokens += tokens;
    }

    /** Counts prompt tokens that were served from the cache. */
    public void hit(int tokens) {
        hitTokens += tokens;
    }

    /** Counts a decoded word. */
    public void decoded() {
        decodedTokens++;
    }

    /** Counts a cancelled request. */
    public void cancelled() {
        cancels++;
    }

    /** Counts a crash. */
    public void countCrash() {
        crashes++;
    }

    /** Records an applied order. */
    public void recordOrder(EngineOrder order) {
        orders.add(order);
    }

    /** Returns the share of prompt tokens that were served from the cache. */
    public double hitRate() {
        long promptTokens = hitTokens + prefilledTokens;
        return promptTokens == 0 ? 0 : (double) hitTokens / promptTokens;
    }

    /** Returns a copy of all counters. */
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
