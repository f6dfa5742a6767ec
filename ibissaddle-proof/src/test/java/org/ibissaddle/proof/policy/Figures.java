package org.ibissaddle.proof.policy;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** What came of the requests of one run. */
final class Figures {
    /** What came of one request; times in milliseconds. */
    record Sample(double firstTokenMs, boolean refused, boolean late, boolean away, double gatewayMs) {}

    private final List<Sample> samples = new ArrayList<>();
    private final List<Double> gaps = new ArrayList<>();
    double cost;

    synchronized void add(Sample sample, List<Double> betweenTokens) {
        samples.add(sample);
        gaps.addAll(betweenTokens);
    }

    int size() {
        return samples.size();
    }

    /** Time to the first token; refused and late requests count as the whole deadline. */
    double firstToken(double quantile) {
        return quantile(samples.stream().mapToDouble(Sample::firstTokenMs).toArray(), quantile);
    }

    double between(double quantile) {
        return quantile(gaps.stream().mapToDouble(d -> d).toArray(), quantile);
    }

    double gateway(double quantile) {
        return quantile(samples.stream().mapToDouble(Sample::gatewayMs).toArray(), quantile);
    }

    double share(java.util.function.Predicate<Sample> which) {
        return (double) samples.stream().filter(which).count() / Math.max(1, samples.size());
    }

    double goodPerSecond() {
        return samples.stream().filter(s -> !s.refused && !s.late).count() * 1_000.0 / Scenario.MEASURED_MS;
    }

    double costPerGood() {
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
