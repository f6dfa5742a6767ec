package org.ibissaddle.standins.internal;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.Optional;

/** Bounded history of a value, for reports that lag behind its current state. */
public final class LaggedHistory<T> {
    private final Deque<Sample<T>> samples = new ArrayDeque<>();
    private final long maxLagMs;

    /**
     * Creates an empty history.
     *
     * @param maxLagMs the maximum supported lag in milliseconds
     */
    public LaggedHistory(long maxLagMs) {
        this.maxLagMs = maxLagMs;
    }

    /** Records the value that is valid from {@code nowMs} on. */
    public void record(long nowMs, T value) {
        samples.addLast(new Sample<>(nowMs, value));
        while (samples.size() > 1 && secondOldest().atMs() <= nowMs - maxLagMs) {
            samples.removeFirst();
        }
    }

    /** Returns the value that was valid at the given time, or the earliest recorded value. */
    public Optional<T> at(long timeMs) {
        Iterator<Sample<T>> newestFirst = samples.descendingIterator();
        while (newestFirst.hasNext()) {
            Sample<T> sample = newestFirst.next();
            if (sample.atMs() <= timeMs) {
                return Optional.of(sample.value());
            }
        }
        return Optional.ofNullable(samples.peekFirst()).map(Sample::value);
    }

    private Sample<T> secondOldest() {
        Iterator<Sample<T>> oldestFirst = samples.iterator();
        oldestFirst.next();
        return oldestFirst.next();
    }

    private record Sample<T>(long atMs, T value) {}
}
