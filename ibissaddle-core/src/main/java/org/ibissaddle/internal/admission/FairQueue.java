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
import org.ibissaddle.placement.Work;

/**
 * Start-time fair queue. A request's start tag is the greater of the virtual time and its workspace's last finish tag;
 * the smallest tag goes first, and a priority moves it forward by a bounded amount.
 */
final class FairQueue {
    private static final double UNITS_PER_TOKEN = 1_000;
    private static final double PREFILL_COST = 0.125;
    private static final long PRIORITY_CREDIT = 200_000;
    private static final double MIN_WEIGHT = 1e-3;
    private static final double RATE_WEIGHT = 0.05;
    private static final double MAX_GAP_MS = 1_000;

    private final ConcurrentSkipListSet<Entry> entries =
            new ConcurrentSkipListSet<>(Comparator.comparingLong(Entry::key).thenComparingLong(Entry::sequence));
    private final Map<RequestId, Entry> byRequest = new ConcurrentHashMap<>();
    private final Map<WorkspaceId, AtomicLong> finishTags = new ConcurrentHashMap<>();
    private final AtomicLong virtualTime = new AtomicLong();
    private final AtomicLong sequences = new AtomicLong();
    private final AtomicInteger size = new AtomicInteger();
    private volatile Pace pace = new Pace(0, 0, 0);

    /** Speed at which requests were started: smoothed tokens and gaps, and when the last one was. */
    private record Pace(double tokens, double gapMs, long atMs) {
        Pace next(double startedTokens, long nowMs) {
            if (atMs == 0) {
                return new Pace(startedTokens, 0, nowMs);
            }
            double gap = Math.min(MAX_GAP_MS, (double) Math.max(0, nowMs - atMs));
            return new Pace(
                    tokens + RATE_WEIGHT * (startedTokens - tokens), gapMs + RATE_WEIGHT * (gap - gapMs), nowMs);
        }

        double waitMs(double ahead) {
            return tokens <= 0 ? 0 : ahead * gapMs / tokens;
        }
    }

    /** A request with its tags. */
    record Entry(Work work, long start, long finish, long key, long sequence, double tokens) {}

    boolean isEmpty() {
        return size.get() == 0;
    }

    int size() {
        return size.get();
    }

    /** Gives a request its tags, which count against its workspace until they are taken back. */
    Entry tag(Work work) {
        double tokens = work.promptTokens() * PREFILL_COST + work.maxTokens();
        double weight = Math.max(MIN_WEIGHT, work.workspace().weight());
        long length = Math.max(1, Math.round(tokens * UNITS_PER_TOKEN / weight));
        AtomicLong tag = finishTags.computeIfAbsent(work.workspace().id(), w -> new AtomicLong());
        long finish = tag.updateAndGet(last -> Math.max(last, virtualTime.get()) + length);
        long start = finish - length;
        long key = start - work.priority() * PRIORITY_CREDIT;
        return new Entry(work, start, finish, key, sequences.getAndIncrement(), tokens);
    }

    /** Takes the tags of a refused request back if no later one of its workspace was tagged. */
    void untag(Entry entry) {
        AtomicLong tag = finishTags.get(entry.work.workspace().id());
        if (tag != null) {
            tag.compareAndSet(entry.finish, entry.start);
        }
    }

    void add(Entry entry) {
        byRequest.put(entry.work.request(), entry);
        if (entries.add(entry)) {
            size.incrementAndGet();
        }
    }

    Optional<Entry> peek() {
        return isEmpty() ? Optional.empty() : Optional.ofNullable(first());
    }

    boolean remove(Entry entry) {
        byRequest.remove(entry.work.request(), entry);
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

    /** Takes the last request out if it comes after another one. */
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

    /** Takes out a request whose deadline has passed. */
    Optional<Entry> pollExpired(long nowMs) {
        for (Entry entry : entries) {
            if (entry.work.deadlineMs() <= nowMs && remove(entry)) {
                return Optional.of(entry);
            }
        }
        return Optional.empty();
    }

    /** Notes that a request was given to a server. */
    void started(Entry entry, long nowMs) {
        virtualTime.accumulateAndGet(entry.start, Math::max);
        pace = pace.next(entry.tokens, nowMs);
    }

    /** Time that the requests before an entry will take, by the speed at which requests were started lately. */
    double waitMs(Entry entry) {
        double ahead = 0;
        for (Entry other : entries.headSet(entry)) {
            ahead += other.tokens;
        }
        return pace.waitMs(ahead);
    }

    /** Time that all waiting requests will take. */
    double waitMs() {
        double all = 0;
        for (Entry other : entries) {
            all += other.tokens;
        }
        return pace.waitMs(all);
    }

    /** Forgets workspaces whose tags say nothing any more; returns how many are left. */
    int expire() {
        long now = virtualTime.get();
        finishTags.values().removeIf(tag -> tag.get() <= now);
        return finishTags.size();
    }

    private Entry first() {
        var all = entries.iterator();
        return all.hasNext() ? all.next() : null;
    }
}
