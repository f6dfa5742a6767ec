package org.ibissaddle.timeline;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReferenceArray;
import java.util.function.LongFunction;

/** Ring buffer of the latest events of one instance. Thread-safe and lock-free. */
public final class EventRingBuffer {
    private final AtomicReferenceArray<TimelineEntry> slots;
    private final AtomicLong next = new AtomicLong();

    /**
     * Creates an empty ring buffer.
     *
     * @param capacity maximum number of events, at least 1
     */
    public EventRingBuffer(int capacity) {
        if (capacity < 1) {
            throw new IllegalArgumentException("capacity must be at least 1, not " + capacity);
        }
        slots = new AtomicReferenceArray<>(capacity);
    }

    /**
     * Appends an event. A full ring buffer overwrites the oldest one.
     *
     * @param event creates the event for its sequence number
     */
    public void append(LongFunction<TimelineEntry> event) {
        long seq = next.getAndIncrement();
        TimelineEntry entry = event.apply(seq);
        int slot = (int) (seq % slots.length());
        while (true) {
            TimelineEntry old = slots.get(slot);
            if (old != null && old.seq() > seq) {
                return;
            }
            if (slots.compareAndSet(slot, old, entry)) {
                return;
            }
        }
    }

    /**
     * Copies the events.
     *
     * @param origin the process that recorded the events
     * @return the retained events, oldest first
     */
    public Snapshot snapshot(EventSource origin) {
        long end = next.get();
        List<TimelineEntry> entries = new ArrayList<>();
        for (long seq = Math.max(0, end - slots.length()); seq < end; seq++) {
            TimelineEntry entry = slots.get((int) (seq % slots.length()));
            if (entry != null && entry.seq() == seq) {
                entries.add(entry);
            }
        }
        return new Snapshot(origin, end, entries);
    }

    /**
     * Copy of a ring buffer.
     *
     * @param origin the process that recorded the events
     * @param next sequence number of the next event, which is the number of events so far
     * @param entries the retained events, oldest first
     */
    public record Snapshot(EventSource origin, long next, List<TimelineEntry> entries) {
        /** Copies the list. */
        public Snapshot {
            entries = List.copyOf(entries);
        }
    }
}
