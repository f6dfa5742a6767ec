package org.ibissaddle.cli.load;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.HdrHistogram.Recorder;
import org.ibissaddle.cli.call.Answer;

/** Counts and times of a load run. All times count from the moment at which the plan wanted the request to start. */
final class Tally {
    private static final int DIGITS = 3;
    private static final String CONNECTION_FAILED = "connection-failed";

    private final LongAdder started = new LongAdder();
    private final LongAdder answered = new LongAdder();
    private final Map<String, LongAdder> refusals = new ConcurrentHashMap<>();
    private final Map<String, LongAdder> routes = new ConcurrentHashMap<>();
    private final Map<String, ConcurrentHistogram> firstByInstance = new ConcurrentHashMap<>();
    private final Map<String, ConcurrentHistogram> wholeByKind = new ConcurrentHashMap<>();
    private final Recorder firstNow = new Recorder(DIGITS);
    private final List<Second> seconds = new ArrayList<>();

    /**
     * One second of the run.
     *
     * @param started requests started since the beginning
     * @param answered requests answered whole since the beginning
     * @param refused requests refused or failed since the beginning
     * @param firstMicros times to the first piece in this second, microseconds
     */
    record Second(long started, long answered, long refused, Histogram firstMicros) {}

    void started() {
        started.increment();
    }

    void ended(String kind, String instance, Answer answer, long intendedNanos) {
        if (answer.refusal().isPresent()) {
            refused(answer.refusal().get(), answer.ran());
            return;
        }
        answered.increment();
        long first = TimeUnit.NANOSECONDS.toMicros(answer.firstNanos() - intendedNanos);
        firstNow.recordValue(first);
        histogram(firstByInstance, instance).recordValue(first);
        histogram(wholeByKind, kind).recordValue(TimeUnit.NANOSECONDS.toMicros(answer.endNanos() - intendedNanos));
        String route =
                answer.instance().orElse(instance) + "\n" + answer.server().orElse("");
        routes.computeIfAbsent(instance + "\n" + route, key -> new LongAdder()).increment();
    }

    void refused(String type, String ran) {
        String key = type.equals(CONNECTION_FAILED) ? type : type + " (" + ran + ")";
        refusals.computeIfAbsent(key, name -> new LongAdder()).increment();
    }

    /** Ends a second; called by one thread. */
    Second tick() {
        Second second = new Second(startedCount(), answeredCount(), refusedCount(), firstNow.getIntervalHistogram());
        seconds.add(second);
        return second;
    }

    long startedCount() {
        return started.sum();
    }

    long answeredCount() {
        return answered.sum();
    }

    long refusedCount() {
        return refusals.values().stream().mapToLong(LongAdder::sum).sum();
    }

    List<Second> seconds() {
        return List.copyOf(seconds);
    }

    Map<String, Long> refusals() {
        Map<String, Long> counts = new TreeMap<>();
        refusals.forEach((type, count) -> counts.put(type, count.sum()));
        return counts;
    }

    /** Counts by instance asked, instance that served and backend server, separated by line breaks. */
    Map<String, Long> routes() {
        Map<String, Long> counts = new TreeMap<>();
        routes.forEach((route, count) -> counts.put(route, count.sum()));
        return counts;
    }

    Map<String, Histogram> wholeByKind() {
        return new TreeMap<>(wholeByKind);
    }

    Map<String, Histogram> firstByInstance() {
        return new TreeMap<>(firstByInstance);
    }

    /** The times to the first piece of all instances, merged. */
    Histogram first() {
        Histogram all = new Histogram(DIGITS);
        firstByInstance.values().forEach(all::add);
        return all;
    }

    private static ConcurrentHistogram histogram(Map<String, ConcurrentHistogram> histograms, String key) {
        return histograms.computeIfAbsent(key, name -> new ConcurrentHistogram(DIGITS));
    }
}
