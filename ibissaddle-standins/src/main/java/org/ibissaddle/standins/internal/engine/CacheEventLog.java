package org.ibissaddle.standins.internal.engine;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/** Log of cache events that publishes them late and loses some. */
public final class CacheEventLog {
    private static final int MAX_EVENTS = 50_000;

    private final Deque<Timed> events = new ArrayDeque<>();
    private final long delayMs;
    private final int gapEvery;
    private long lastSeq;

    /**
     * Creates an empty log.
     *
     * @param delayMs how late an event is published
     * @param gapEvery every how many events one is lost; 0 for never
     */
    public CacheEventLog(long delayMs, int gapEvery) {
        this.delayMs = delayMs;
        this.gapEvery = gapEvery;
    }

    /** Adds an event. */
    public void add(long nowMs, CacheEvent.Kind kind, String block) {
        lastSeq++;
        events.addLast(new Timed(nowMs, new CacheEvent(lastSeq, kind, block)));
        if (events.size() > MAX_EVENTS) {
            events.removeFirst();
        }
    }

    /** Returns the published events behind a number. */
    public Page after(long nowMs, long after) {
        List<CacheEvent> page = new ArrayList<>();
        long next = after;
        for (Timed timed : events) {
            if (timed.atMs() > nowMs - delayMs) {
                break;
            }
            CacheEvent event = timed.event();
            if (event.seq() <= after) {
                continue;
            }
            next = event.seq();
            if (!isLost(event)) {
                page.add(event);
            }
        }
        return new Page(page, next);
    }

    private boolean isLost(CacheEvent event) {
        return gapEvery > 0 && event.seq() % gapEvery == 0;
    }

    /**
     * Published events.
     *
     * @param events the events, oldest first
     * @param next the number to ask behind next time
     */
    public record Page(List<CacheEvent> events, long next) {}

    private record Timed(long atMs, CacheEvent event) {}
}
