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
import org.ibissaddle.cli.call.CallResult;

/** Counters and latency histograms of a load test. Latencies are measured from the scheduled start of a request. */
final class LoadStatistics {
    private static final int SIGNIFICANT_DIGITS = 3;
    private static final String CONNECTION_FAILED = "connection-failed";

    private final LongAdder started = new LongAdder();
    private final LongAdder answered = new LongAdder();
    private final Map<String, LongAdder> refusals = new ConcurrentHashMap<>();
    private final Map<String, LongAdder> routes = new ConcurrentHashMap<>();
    private final Map<String, ConcurrentHistogram> firstChunkByInstance = new ConcurrentHashMap<>();
    private final Map<String, ConcurrentHistogram> totalTimeByKind = new ConcurrentHashMap<>();
    private final Recorder currentFirstChunk = new Recorder(SIGNIFICANT_DIGITS);
    private final List<Interval> intervals = new ArrayList<>();

    /**
     * Totals at the end of a second, and the latencies recorded within it.
     *
     * @param started requests started since the start of the test
     * @param answered requests answered completely since the start of the test
     * @param refused requests refused or failed since the start of the test
     * @param firstChunkMicros times to first chunk within this second, microseconds
     */
    record Interval(long started, long answered, long refused, Histogram firstChunkMicros) {}

    void recordStarted() {
        started.increment();
    }

    void recordEnded(String kind, String instance, CallResult result, long scheduledNanos) {
        if (result.errorType().isPresent()) {
            recordRefused(result.errorType().get(), result.executionStatus());
            return;
        }
        answered.increment();
        long firstChunkLatencyMicros = TimeUnit.NANOSECONDS.toMicros(result.firstChunkNanos() - scheduledNanos);
        currentFirstChunk.recordValue(firstChunkLatencyMicros);
        histogram(firstChunkByInstance, instance).recordValue(firstChunkLatencyMicros);
        histogram(totalTimeByKind, kind).recordValue(TimeUnit.NANOSECONDS.toMicros(result.endNanos() - scheduledNanos));
        String route =
                result.instance().orElse(instance) + "\n" + result.server().orElse("");
        routes.computeIfAbsent(instance + "\n" + route, key -> new LongAdder()).increment();
    }

    void recordRefused(String type, String executionStatus) {
        String key = type.equals(CONNECTION_FAILED) ? type : type + " (" + executionStatus + ")";
        refusals.computeIfAbsent(key, name -> new LongAdder()).increment();
    }

    /** Closes the current one-second interval. Must be called by one thread at a time. */
    Interval closeInterval() {
        Interval interval =
                new Interval(startedCount(), answeredCount(), refusedCount(), currentFirstChunk.getIntervalHistogram());
        intervals.add(interval);
        return interval;
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

    List<Interval> intervals() {
        return List.copyOf(intervals);
    }

    Map<String, Long> refusals() {
        Map<String, Long> counts = new TreeMap<>();
        refusals.forEach((type, count) -> counts.put(type, count.sum()));
        return counts;
    }

    /** Returns counts keyed by receiving instance, serving instance and backend server, separated by line breaks. */
    Map<String, Long> routes() {
        Map<String, Long> counts = new TreeMap<>();
        routes.forEach((route, count) -> counts.put(route, count.sum()));
        return counts;
    }

    Map<String, Histogram> totalTimeByKind() {
        return new TreeMap<>(totalTimeByKind);
    }

    Map<String, Histogram> firstChunkByInstance() {
        return new TreeMap<>(firstChunkByInstance);
    }

    /** Returns the merged histogram of the time to first chunk over all instances. */
    Histogram firstChunk() {
        Histogram merged = new Histogram(SIGNIFICANT_DIGITS);
        firstChunkByInstance.values().forEach(merged::add);
        return merged;
    }

    private static ConcurrentHistogram histogram(Map<String, ConcurrentHistogram> histograms, String key) {
        return histograms.computeIfAbsent(key, name -> new ConcurrentHistogram(SIGNIFICANT_DIGITS));
    }
}
