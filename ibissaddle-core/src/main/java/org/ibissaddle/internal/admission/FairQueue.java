package org.ibissaddle.internal.admission;

import java.util.Comparator;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentSkipListSet;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.ibissaddle.id.RequestId;
import org.ibissaddle.id.WorkspaceId;
import org.ibissaddle.placement.PlacementRequest;

/**
 * Start-time fair queue. A request's start tag is the maximum of the virtual time and its workspace's last finish tag.
 * Requests are ordered by start tag; each priority level moves a request forward by a fixed amount.
 */
final class FairQueue {
    private static final double UNITS_PER_TOKEN = 1_000;
    private static final double PROMPT_TOKEN_COST = 0.125;
    private static final long PRIORITY_CREDIT = 200_000;
    private static final double MIN_WEIGHT = 1e-3;
    private static final double SMOOTHING_FACTOR = 0.05;
    private static final double MAX_START_INTERVAL_MS = 1_000;

    private final ConcurrentSkipListSet<Entry> entries =
            new ConcurrentSkipListSet<>(Comparator.comparingLong(Entry::key).thenComparingLong(Entry::sequence));
    private final Map<RequestId, Entry> byRequest = new ConcurrentHashMap<>();
    private final Map<WorkspaceId, AtomicLong> finishTags = new ConcurrentHashMap<>();
    private final AtomicLong virtualTime = new AtomicLong();
    private final AtomicLong nextSequence = new AtomicLong();
    private final AtomicInteger size = new AtomicInteger();
    private volatile StartRate startRate = new StartRate(0, 0, 0);

    /**
     * Recent rate of started requests: exponential moving averages of their tokens and of the intervals between them,
     * and the time of the last start.
     */
    private record StartRate(double tokens, double intervalMs, long atMs) {
        StartRate afterStart(double startedTokens, long nowMs) {
            if (atMs == 0) {
                return new StartRate(startedTokens, 0, nowMs);
            }
            double latestIntervalMs = Math.min(MAX_START_INTERVAL_MS, (double) Math.max(0, nowMs - atMs));
            return new StartRate(
                    tokens + SMOOTHING_FACTOR * (startedTokens - tokens),
                    intervalMs + SMOOTHING_FACTOR * (latestIntervalMs - intervalMs),
                    nowMs);
        }

        double waitMs(double tokensAhead) {
            return tokens <= 0 ? 0 : tokensAhead * intervalMs / tokens;
        }
    }

    /** A request with its start and finish tags and its position in the queue. */
    record Entry(PlacementRequest placementRequest, long start, long finish, long key, long sequence, double tokens) {}

    boolean isEmpty() {
        return size.get() == 0;
    }

    int size() {
        return size.get();
    }

    /** Assigns a request its tags and advances the finish tag of its workspace. */
    Entry tag(PlacementRequest placementRequest) {
        double tokens = placementRequest.promptTokens() * PROMPT_TOKEN_COST + placementRequest.maxTokens();
        double weight = Math.max(MIN_WEIGHT, placementRequest.workspace().weight());
        long length = Math.max(1, Math.round(tokens * UNITS_PER_TOKEN / weight));
        AtomicLong tag = finishTags.computeIfAbsent(placementRequest.workspace().id(), w -> new AtomicLong());
        long finish = tag.updateAndGet(last -> Math.max(last, virtualTime.get()) + length);
        long start = finish - length;
        long key = start - placementRequest.priority() * PRIORITY_CREDIT;
        return new Entry(placementRequest, start, finish, key, nextSequence.getAndIncrement(), tokens);
    }

    /** Reverts the tags of a refused request unless a later request of its workspace was tagged. */
    void untag(Entry entry) {
        AtomicLong tag = finishTags.get(entry.placementRequest.workspace().id());
        if (tag != null) {
            tag.compareAndSet(entry.finish, entry.start);
        }
    }

    void add(Entry entry) {
        byRequest.put(entry.placementRequest.request(), entry);
        if (entries.add(entry)) {
            size.incrementAndGet();
        }
    }

    Optional<Entry> peek() {
        return isEmpty() ? Optional.empty() : Optional.ofNullable(first());
    }

    boolean remove(Entry entry) {
        byRequest.remove(entry.placementRequest.request(), entry);
        boolean removed = entries.remove(entry);
        if (removed) {
            size.decrementAndGet();
        }
        return removed;
    }

    boolean remove(RequestId request) {
        Entry entry = byRequest.remove(request);
        if (entry == null || !remove(entry)) {
            return false;
        }
        untag(entry);
        return true;
    }

    /** Removes and returns the last request if it is ordered after the given one. */
    Optional<Entry> pollLastAfter(Entry other) {
        while (true) {
            Entry last = entries.isEmpty() ? null : entries.descendingIterator().next();
            if (last == null || last.key <= other.key) {
                return Optional.empty();
            }
            if (remove(last)) {
                return Optional.of(last);
            }
        }
    }

    /** Removes and returns a request whose deadline has passed. */
    Optional<Entry> pollExpired(long nowMs) {
        for (Entry entry : entries) {
            if (entry.placementRequest.deadlineMs() <= nowMs && remove(entry)) {
                return Optional.of(entry);
            }
        }
        return Optional.empty();
    }

    /** Records that a request was started, which advances the virtual time and updates the start rate. */
    void started(Entry entry, long nowMs) {
        virtualTime.accumulateAndGet(entry.start, Math::max);
        startRate = startRate.afterStart(entry.tokens, nowMs);
    }

    /** Predicts the wait for the requests ahead of an entry from the recent start rate. */
    double waitMs(Entry entry) {
        double tokensAhead = 0;
        for (Entry other : entries.headSet(entry)) {
            tokensAhead += other.tokens;
        }
        return startRate.waitMs(tokensAhead);
    }

    /** Predicts the wait for all queued requests. */
    double waitMs() {
        double queuedTokens = 0;
        for (Entry other : entries) {
            queuedTokens += other.tokens;
        }
        return startRate.waitMs(queuedTokens);
    }

    /** Removes workspaces whose finish tag the virtual time has reached; returns how many remain. */
    int expire() {
        long now = virtualTime.get();
        finishTags.values().removeIf(tag -> tag.get() <= now);
        return finishTags.size();
    }

    private Entry first() {
        var iterator = entries.iterator();
        return iterator.hasNext() ? iterator.next() : null;
    }
}
