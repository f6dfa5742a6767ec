package org.ibissaddle.timeline;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReferenceArray;
import java.util.function.LongFunction;

/** The latest events of one instance. Bounded; safe for several threads without locks. */
public final class EventRing {
    private final AtomicReferenceArray<Entry> slots;
    private final AtomicLong next = new AtomicLong();

    /**
     * Creates an empty ring.
     *
     * @param capacity how many events it holds
     */
    public EventRing(int capacity) {
        if (capacity < 1) {
            throw new IllegalArgumentException("a ring holds at least 1 event, not " + capacity);
        }
        slots = new AtomicReferenceArray<>(capacity);
    }

    /**
     * Appends an event; the oldest one makes room.
     *
     * @param event gives the event for its number
     */
    public void append(LongFunction<Entry> event) {
        long seq = next.getAndIncrement();
        Entry entry = event.apply(seq);
        int slot = (int) (seq % slots.length());
        while (true) {
            Entry old = slots.get(slot);
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
     * @param origin the process that the ring belongs to
     * @return the events held, oldest first
     */
    public Snapshot snapshot(Origin origin) {
        long end = next.get();
        List<Entry> entries = new ArrayList<>();
        for (long seq = Math.max(0, end - slots.length()); seq < end; seq++) {
            Entry entry = slots.get((int) (seq % slots.length()));
            if (entry != null && entry.seq() == seq) {
                entries.add(entry);
            }
        }
        return new Snapshot(origin, end, entries);
    }

    /**
     * Copy of a ring.
     *
     * @param origin the process that it belongs to
     * @param next how many events ever happened there
     * @param entries those still held, oldest first
     */
    public record Snapshot(Origin origin, long next, List<Entry> entries) {
        /** Copies the list. */
        public Snapshot {
            entries = List.copyOf(entries);
        }
    }
}
