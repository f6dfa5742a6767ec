package org.ibissaddle.proof.policy;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.function.ToDoubleFunction;
import org.ibissaddle.standins.StandinStartException;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/**
 * Compares the production policy with the baseline policies on in-process simulated engines. System properties:
 * {@code -Dpolicy.seeds=5 -Dpolicy.parallel=8 -Dpolicy.only=STRATKA,THIRD_OF_CAPACITY}.
 */
@Tag("benchmark")
class PolicyComparison {
    private static final String TABLE_HEADER =
            "| policy | weighted sum | cost µ/request | first token p50 | p95 | p99 ms | between tokens p50 | p95 | p99 ms "
                    + "| sent away % | refused % | late % | goodput/s | decision p99 ms |";

    private final int seeds = Integer.getInteger("policy.seeds", 5);
    private final int parallel = Integer.getInteger("policy.parallel", 8);
    private final String selection = System.getProperty("policy.only", "");

    @Test
    void shouldCompareThePolicies() throws InterruptedException, ExecutionException {
        int tables = 0;
        runPolicies(Deployment.STRATKA, Scenario.STEADY, 1);
        for (Deployment deployment : Deployment.values()) {
            for (Scenario scenario : Scenario.values()) {
                if (isSelected(deployment) && isSelected(scenario)) {
                    System.out.println(compare(deployment, scenario));
                    tables++;
                }
            }
        }
        assertThat(tables).isPositive();
    }

    private boolean isSelected(Enum<?> constant) {
        boolean filtered = false;
        for (Object candidate : constant.getDeclaringClass().getEnumConstants()) {
            filtered |= selection.contains(candidate.toString());
        }
        return !filtered || selection.contains(constant.toString());
    }

    private String compare(Deployment deployment, Scenario scenario) throws InterruptedException, ExecutionException {
        return renderTable(deployment, scenario, runPolicies(deployment, scenario, seeds));
    }

    /**
     * Runs all policies. Their order rotates with the seed, so that a policy does not always run next to the same
     * others.
     */
    private Map<CandidatePolicy, List<RunMetrics>> runPolicies(Deployment deployment, Scenario scenario, int maxSeed)
            throws InterruptedException, ExecutionException {
        Map<CandidatePolicy, List<Future<RunMetrics>>> pending = new EnumMap<>(CandidatePolicy.class);
        List<CandidatePolicy> order = new ArrayList<>(List.of(CandidatePolicy.values()));
        try (ExecutorService pool = Executors.newFixedThreadPool(parallel)) {
            for (int seed = 1; seed <= maxSeed; seed++) {
                for (CandidatePolicy candidate : order) {
                    long runSeed = seed;
                    pending.computeIfAbsent(candidate, c -> new ArrayList<>())
                            .add(pool.submit(() -> run(deployment, scenario, candidate, runSeed)));
                }
                Collections.rotate(order, 1);
            }
        }
        Map<CandidatePolicy, List<RunMetrics>> results = new EnumMap<>(CandidatePolicy.class);
        for (Map.Entry<CandidatePolicy, List<Future<RunMetrics>>> entry : pending.entrySet()) {
            List<RunMetrics> metrics = new ArrayList<>();
            for (Future<RunMetrics> run : entry.getValue()) {
                metrics.add(run.get());
            }
            results.put(entry.getKey(), metrics);
        }
        return results;
    }

    private static RunMetrics run(Deployment deployment, Scenario scenario, CandidatePolicy candidate, long seed)
            throws StandinStartException, ExecutionException, InterruptedException {
        try (PolicySimulation simulation = new PolicySimulation(deployment, scenario, candidate)) {
            return simulation.run(seed);
        }
    }

    private static String renderTable(
            Deployment deployment, Scenario scenario, Map<CandidatePolicy, List<RunMetrics>> results) {
        double lowestCost = Double.MAX_VALUE;
        for (List<RunMetrics> runs : results.values()) {
            lowestCost = Math.min(lowestCost, median(runs, RunMetrics::costPerSuccess));
        }
        double baselineCost = lowestCost;
        StringBuilder table = new StringBuilder("\n### " + deployment + " " + scenario + "\n\n" + TABLE_HEADER + "\n");
        table.append("|---".repeat(14)).append("|\n");
        for (Map.Entry<CandidatePolicy, List<RunMetrics>> entry : results.entrySet()) {
            List<RunMetrics> runs = entry.getValue();
            table.append("| ")
                    .append(entry.getKey().name().toLowerCase(Locale.ROOT).replace('_', ' '));
            appendCell(table, runs, "%.3f", run -> weightedSum(deployment, run, baselineCost));
            appendCell(table, runs, "%.1f", run -> run.costPerSuccess() * 1e6);
            appendCell(table, runs, "%.0f", run -> run.firstTokenQuantileMs(0.5));
            appendCell(table, runs, "%.0f", run -> run.firstTokenQuantileMs(0.95));
            appendCell(table, runs, "%.0f", run -> run.firstTokenQuantileMs(0.99));
            appendCell(table, runs, "%.0f", run -> run.tokenIntervalQuantileMs(0.5));
            appendCell(table, runs, "%.0f", run -> run.tokenIntervalQuantileMs(0.95));
            appendCell(table, runs, "%.0f", run -> run.tokenIntervalQuantileMs(0.99));
            appendCell(table, runs, "%.1f", run -> 100 * run.share(RunMetrics.Sample::servedRemotely));
            appendCell(table, runs, "%.1f", run -> 100 * run.share(RunMetrics.Sample::refused));
            appendCell(table, runs, "%.1f", run -> 100 * run.share(RunMetrics.Sample::late));
            appendCell(table, runs, "%.0f", RunMetrics::goodputPerSecond);
            appendCell(table, runs, "%.2f", run -> run.decisionQuantileMs(0.99));
            table.append(" |\n");
        }
        return table.toString();
    }

    /**
     * Returns the weighted sum of the cost relative to the cheapest policy, the p99 time to the first token relative to
     * its target, and the share of requests served in another region.
     */
    private static double weightedSum(Deployment deployment, RunMetrics metrics, double lowestCost) {
        return deployment.weights().cost() * metrics.costPerSuccess() / lowestCost
                + deployment.weights().tail()
                        * metrics.firstTokenQuantileMs(0.99)
                        / deployment.weights().firstTokenTargetMs()
                + deployment.weights().sentAway() * metrics.share(RunMetrics.Sample::servedRemotely);
    }

    private static void appendCell(
            StringBuilder table, List<RunMetrics> runs, String format, ToDoubleFunction<RunMetrics> metric) {
        double[] sorted = runs.stream().mapToDouble(metric).sorted().toArray();
        table.append(" | ").append(String.format(Locale.ROOT, format, sorted[sorted.length / 2]));
        if (sorted.length > 1) {
            table.append(String.format(
                    Locale.ROOT, " (" + format + "–" + format + ")", sorted[0], sorted[sorted.length - 1]));
        }
    }

    private static double median(List<RunMetrics> runs, ToDoubleFunction<RunMetrics> metric) {
        double[] sorted = runs.stream().mapToDouble(metric).sorted().toArray();
        return sorted[sorted.length / 2];
    }
}
