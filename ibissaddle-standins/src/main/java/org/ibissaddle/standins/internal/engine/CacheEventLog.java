package org.ibissaddle.standins.internal.engine;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/** Log of cache events with an injected publication delay and injected gaps. */
public final class CacheEventLog {
    private static final int MAX_EVENTS = 50_000;

    private final Deque<TimedEvent> events = new ArrayDeque<>();
    private final long delayMs;
    private final int gapEvery;
    private long lastSeq;

    /**
     * Creates an empty log.
     *
     * @param delayMs the delay before an event is published
     * @param gapEvery omits every n-th event; 0 disables
     */
    public CacheEventLog(long delayMs, int gapEvery) {
        this.delayMs = delayMs;
        this.gapEvery = gapEvery;
    }

    /** Appends an event; the oldest event is dropped when the log is full. */
    public void add(long nowMs, CacheEvent.Kind kind, String block) {
        lastSeq++;
        events.addLast(new TimedEvent(nowMs, new CacheEvent(lastSeq, kind, block)));
        if (events.size() > MAX_EVENTS) {
            events.removeFirst();
        }
    }

    /** Returns the published events with a sequence number greater than {@code after}. */
    public Page after(long nowMs, long after) {
        List<CacheEvent> page = new ArrayList<>();
        long next = after;
        for (TimedEvent timed : events) {
            if (timed.atMs() > nowMs - delayMs) {
                break;
            }
            CacheEvent event = timed.event();
            if (event.seq() <= after) {
                continue;
            }
            next = event.seq();
            if (!isDropped(event)) {
                page.add(event);
            }
        }
        return new Page(page, next);
    }

    private boolean isDropped(CacheEvent event) {
        return gapEvery > 0 && event.seq() % gapEvery == 0;
    }

    /**
     * A page of published events.
     *
     * @param events the events, oldest first
     * @param next the sequence number to pass as {@code after} in the next call
     */
    public record Page(List<CacheEvent> events, long next) {}

    private record TimedEvent(long atMs, CacheEvent event) {}
}
