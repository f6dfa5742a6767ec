package org.ibissaddle.proof.policy;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** Collects the results of the requests of one run and computes summary statistics. */
final class RunMetrics {
    /** The result of one request. */
    record Sample(double firstTokenMs, boolean refused, boolean late, boolean servedRemotely, double decisionMs) {}

    private final List<Sample> samples = new ArrayList<>();
    private final List<Double> tokenIntervalsMs = new ArrayList<>();
    double cost;

    synchronized void addSample(Sample sample, List<Double> requestTokenIntervalsMs) {
        samples.add(sample);
        tokenIntervalsMs.addAll(requestTokenIntervalsMs);
    }

    int size() {
        return samples.size();
    }

    /** Returns a quantile of the time to the first token. Refused and late requests count as the full deadline. */
    double firstTokenQuantileMs(double quantile) {
        return quantile(samples.stream().mapToDouble(Sample::firstTokenMs).toArray(), quantile);
    }

    double tokenIntervalQuantileMs(double quantile) {
        return quantile(tokenIntervalsMs.stream().mapToDouble(d -> d).toArray(), quantile);
    }

    double decisionQuantileMs(double quantile) {
        return quantile(samples.stream().mapToDouble(Sample::decisionMs).toArray(), quantile);
    }

    double share(java.util.function.Predicate<Sample> filter) {
        return (double) samples.stream().filter(filter).count() / Math.max(1, samples.size());
    }

    double goodputPerSecond() {
        return samples.stream().filter(s -> !s.refused && !s.late).count() * 1_000.0 / Scenario.MEASURED_MS;
    }

    double costPerSuccess() {
        return cost
                / Math.max(
                        1, samples.stream().filter(s -> !s.refused && !s.late).count());
    }

    static double quantile(double[] values, double quantile) {
        if (values.length == 0) {
            return 0;
        }
        Arrays.sort(values);
        return values[(int) Math.min(values.length - 1L, Math.round(quantile * values.length))];
    }
}
