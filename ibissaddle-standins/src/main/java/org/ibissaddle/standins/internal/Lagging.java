package org.ibissaddle.standins.internal;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.Optional;

/** History of a value that is reported as it was some time ago. */
public final class Lagging<T> {
    private final Deque<Sample<T>> samples = new ArrayDeque<>();
    private final long keptMs;

    /**
     * Creates an empty history.
     *
     * @param keptMs the longest lag that may be asked for, in milliseconds
     */
    public Lagging(long keptMs) {
        this.keptMs = keptMs;
    }

    /** Adds the value that holds from now on. */
    public void record(long nowMs, T value) {
        samples.addLast(new Sample<>(nowMs, value));
        while (samples.size() > 1 && second().atMs() <= nowMs - keptMs) {
            samples.removeFirst();
        }
    }

    /** Returns the value that held at the given time, or the earliest one known. */
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

    private Sample<T> second() {
        Iterator<Sample<T>> oldestFirst = samples.iterator();
        oldestFirst.next();
        return oldestFirst.next();
    }

    private record Sample<T>(long atMs, T value) {}
}
