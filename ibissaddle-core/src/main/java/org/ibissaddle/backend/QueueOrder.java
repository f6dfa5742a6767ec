package org.ibissaddle.backend;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.Predicate;

/**
 * Order of the requests that wait for a server of one service: those that can still meet their objective before late
 * ones, then by priority, then by start-time fair queuing over the workspaces and the kinds of requests of each. A
 * share of the capacity goes to the request that has waited longest, so that nothing is shut out as long as a load
 * spike lasts. Not thread-safe; confined to one thread.
 *
 * @param <T> type of the requests
 */
public final class QueueOrder<T> {
    /** Share of the capacity that goes to the request that has waited longest, whatever its priority. */
    private static final double OLDEST_SHARE = 0.125;
    /** Period in milliseconds over which the rate of served requests is measured. */
    private static final long RATE_PERIOD_MS = 1_000;
    /** Minimum time in milliseconds of a queue that is being served before its rate is used. */
    private static final long MIN_RATE_MS = 250;

    private static final Comparator<Entry<?>> SEQUENCE = Comparator.comparingLong(entry -> entry.sequence);
    private static final Comparator<Entry<?>> ORDER = Comparator.comparingInt(
                    (Entry<?> entry) -> entry.waiter.priority())
            .thenComparingDouble(entry -> entry.startTag)
            .thenComparing(SEQUENCE);

    private final TreeSet<Entry<T>> inTime = new TreeSet<>(ORDER);
    private final TreeSet<Entry<T>> late = new TreeSet<>(ORDER);
    private final TreeSet<Entry<T>> byAge = new TreeSet<>(SEQUENCE);
    private final TreeSet<Entry<T>> byObjective =
            new TreeSet<>(Comparator.comparingLong((Entry<?> entry) -> entry.waiter.inTimeUntilMs())
                    .thenComparing(SEQUENCE));
    private final Map<Flow, FlowState> flows = new HashMap<>();
    private final Map<Flow, Integer> activeKinds = new HashMap<>();
    private final Map<Integer, Double> virtualTimes = new HashMap<>();
    private long nextSequence;
    private double oldestCredit;
    private long lastServedMs = Long.MIN_VALUE;
    private long periodStartMs;
    private double servedCost;
    private double previousRate;

    /**
     * What the order depends on.
     *
     * @param workspace key of the workspace, empty for none
     * @param kind kind of the request, such as the name of its route
     * @param priority priority; 0 is the highest
     * @param costMs server time that the request uses in milliseconds; a positive number
     * @param arrivedMs time of its arrival in milliseconds
     * @param inTimeUntilMs time in milliseconds until which it can be sent and still meet its objective
     * @param giveUpAtMs time in milliseconds from which a response would come too late for its caller
     */
    public record Waiter(
            String workspace,
            String kind,
            int priority,
            double costMs,
            long arrivedMs,
            long inTimeUntilMs,
            long giveUpAtMs) {}

    /** Why a request does not wait any longer. */
    public enum GiveUpReason {
        /** Its response could no longer be complete before its timeout. */
        TIMEOUT,
        /** Its objective is missed and no request has been served since it arrived. */
        NO_PROGRESS
    }

    /**
     * A waiting request.
     *
     * @param <T> type of the request
     */
    public static final class Entry<T> {
        private final T request;
        private final Waiter waiter;
        private final long sequence;
        private final double startTag;

        private Entry(T request, Waiter waiter, long sequence, double startTag) {
            this.request = request;
            this.waiter = waiter;
            this.sequence = sequence;
            this.startTag = startTag;
        }

        /**
         * Returns the request.
         *
         * @return the request
         */
        public T request() {
            return request;
        }

        /**
         * Returns what its order depends on.
         *
         * @return the terms
         */
        public Waiter waiter() {
            return waiter;
        }
    }

    private record Flow(int priority, String workspace, String kind) {}

    private static final class FlowState {
        private double finishTag;
        private int queued;
    }

    /**
     * Adds a request.
     *
     * @param request the request
     * @param waiter what its order depends on
     * @param nowMs current time in milliseconds
     * @return its entry
     */
    public Entry<T> add(T request, Waiter waiter, long nowMs) {
        if (byAge.isEmpty()) {
            // The rate at which requests are served is known only for times in which some wait.
            periodStartMs = nowMs;
            servedCost = 0;
            previousRate = 0;
        }
        FlowState flow = flows.computeIfAbsent(flow(waiter), key -> new FlowState());
        if (flow.queued++ == 0) {
            activeKinds.merge(workspace(waiter), 1, Integer::sum);
        }
        double startTag = Math.max(virtualTime(waiter), flow.finishTag);
        flow.finishTag = startTag + step(waiter);
        Entry<T> entry = new Entry<>(request, waiter, nextSequence++, startTag);
        inTime.add(entry);
        byAge.add(entry);
        byObjective.add(entry);
        return entry;
    }

    /**
     * Removes a request that was not served.
     *
     * @param entry its entry; without effect if it was removed before
     */
    public void remove(Entry<T> entry) {
        if (!byAge.remove(entry)) {
            return;
        }
        inTime.remove(entry);
        late.remove(entry);
        byObjective.remove(entry);
        FlowState flow = flows.get(flow(entry.waiter));
        if (--flow.queued == 0) {
            activeKinds.merge(workspace(entry.waiter), -1, Integer::sum);
        }
        // What a workspace has not used does not count against its next requests.
        flow.finishTag = Math.max(virtualTime(entry.waiter), flow.finishTag - step(entry.waiter));
        if (byAge.isEmpty()) {
            flows.clear();
            activeKinds.clear();
            virtualTimes.clear();
        }
    }

    /**
     * Removes a request that is sent to a server.
     *
     * @param entry its entry
     * @param nowMs current time in milliseconds
     */
    public void served(Entry<T> entry, long nowMs) {
        boolean wasOldest = byAge.first() == entry;
        boolean wasFirst = (inTime.isEmpty() ? late : inTime).first() == entry;
        double costMs = entry.waiter.costMs();
        if (wasOldest && !wasFirst) {
            oldestCredit = Math.max(0, oldestCredit - costMs);
        } else {
            oldestCredit += costMs * OLDEST_SHARE / (1 - OLDEST_SHARE);
            virtualTimes.merge(entry.waiter.priority(), entry.startTag, Math::max);
        }
        recordServed(costMs, nowMs);
        FlowState flow = flows.get(flow(entry.waiter));
        double finishTag = flow.finishTag;
        remove(entry);
        flow.finishTag = finishTag;
    }

    /**
     * Returns the requests to place next, in order. Requests whose objective has passed come behind the others.
     *
     * @param limit maximum number of requests
     * @param nowMs current time in milliseconds
     * @return a copy of the first entries
     */
    public List<Entry<T>> next(int limit, long nowMs) {
        while (!byObjective.isEmpty() && byObjective.first().waiter.inTimeUntilMs() <= nowMs) {
            Entry<T> overdue = byObjective.pollFirst();
            inTime.remove(overdue);
            late.add(overdue);
        }
        List<Entry<T>> next = new ArrayList<>();
        Optional<Entry<T>> oldest = byAge.isEmpty() ? Optional.empty() : Optional.of(byAge.first());
        oldest.filter(entry -> oldestCredit >= entry.waiter.costMs()).ifPresent(next::add);
        for (Entry<T> entry : inTime) {
            if (next.size() >= limit) {
                return next;
            }
            addUnlessFirst(next, entry);
        }
        for (Entry<T> entry : late) {
            if (next.size() >= limit) {
                return next;
            }
            addUnlessFirst(next, entry);
        }
        return next;
    }

    /**
     * Returns the waiting requests that should not wait any longer, of those whose objective had passed at the last
     * call of {@link #next}.
     *
     * @param nowMs current time in milliseconds
     * @return a copy of their entries
     */
    public List<Entry<T>> hopeless(long nowMs) {
        List<Entry<T>> hopeless = new ArrayList<>();
        for (Entry<T> entry : late) {
            if (shouldGiveUp(entry.waiter, nowMs).isPresent()) {
                hopeless.add(entry);
            }
        }
        return hopeless;
    }

    /**
     * Returns whether a request waits that can still meet its objective and comes before new ones of a priority.
     *
     * @param priority the priority; 0 is the highest
     * @param counts which of the waiting requests count
     * @return true if there is one of this priority or a higher one
     */
    public boolean hasWaiting(int priority, Predicate<T> counts) {
        for (Entry<T> entry : inTime) {
            if (entry.waiter.priority() > priority) {
                return false;
            }
            if (counts.test(entry.request)) {
                return true;
            }
        }
        return false;
    }

    /**
     * Returns whether a request should not wait any longer.
     *
     * @param waiter what its order depends on
     * @param nowMs current time in milliseconds
     * @return the reason, empty if it waits
     */
    public Optional<GiveUpReason> shouldGiveUp(Waiter waiter, long nowMs) {
        if (nowMs >= waiter.giveUpAtMs()) {
            return Optional.of(GiveUpReason.TIMEOUT);
        }
        return nowMs >= waiter.inTimeUntilMs() && lastServedMs < waiter.arrivedMs()
                ? Optional.of(GiveUpReason.NO_PROGRESS)
                : Optional.empty();
    }

    /**
     * Predicts how long a request that is added now waits.
     *
     * @param waiter what its order depends on
     * @param nowMs current time in milliseconds
     * @return milliseconds at the rate at which requests were served lately, 0 if it is unknown
     */
    public long predictedWaitMs(Waiter waiter, long nowMs) {
        double rate = servedPerMs(nowMs);
        if (rate == 0 || byAge.isEmpty()) {
            return 0;
        }
        FlowState flow = flows.get(flow(waiter));
        double startTag = Math.max(virtualTime(waiter), flow == null ? 0 : flow.finishTag);
        double aheadMs = 0;
        for (Entry<T> entry : inTime) {
            boolean ahead = entry.waiter.priority() < waiter.priority()
                    || (entry.waiter.priority() == waiter.priority() && entry.startTag <= startTag);
            if (!ahead) {
                break;
            }
            aheadMs += entry.waiter.costMs();
        }
        return Math.round(aheadMs / rate);
    }

    /**
     * Returns the number of waiting requests.
     *
     * @return number of requests
     */
    public int size() {
        return byAge.size();
    }

    /**
     * Returns the number of waiting requests that can no longer meet their objective.
     *
     * @return number of requests as of the last call of {@link #next}
     */
    public int lateSize() {
        return late.size();
    }

    private void addUnlessFirst(List<Entry<T>> next, Entry<T> entry) {
        if (next.isEmpty() || next.getFirst() != entry) {
            next.add(entry);
        }
    }

    private void recordServed(double costMs, long nowMs) {
        if (nowMs - periodStartMs >= RATE_PERIOD_MS) {
            previousRate = nowMs - periodStartMs < 2 * RATE_PERIOD_MS ? servedCost / (nowMs - periodStartMs) : 0;
            periodStartMs = nowMs;
            servedCost = 0;
        }
        servedCost += costMs;
        lastServedMs = nowMs;
    }

    private double servedPerMs(long nowMs) {
        long elapsedMs = nowMs - periodStartMs;
        if (elapsedMs > 2 * RATE_PERIOD_MS) {
            return 0;
        }
        return elapsedMs < MIN_RATE_MS ? previousRate : servedCost / elapsedMs;
    }

    /** A kind of requests uses only its part of what the workspace is due while other kinds of it wait as well. */
    private double step(Waiter waiter) {
        return waiter.costMs() * Math.max(1, activeKinds.getOrDefault(workspace(waiter), 1));
    }

    private double virtualTime(Waiter waiter) {
        return virtualTimes.getOrDefault(waiter.priority(), 0.0);
    }

    private static Flow flow(Waiter waiter) {
        return new Flow(waiter.priority(), waiter.workspace(), waiter.kind());
    }

    private static Flow workspace(Waiter waiter) {
        return new Flow(waiter.priority(), waiter.workspace(), "");
    }
}
