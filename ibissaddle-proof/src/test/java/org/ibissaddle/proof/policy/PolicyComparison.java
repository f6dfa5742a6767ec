package org.ibissaddle.proof.policy;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
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
 * Compares the production policy with the plain ones, over engine stand-ins in this process. Settings:
 * {@code -Dpolicy.seeds=5 -Dpolicy.parallel=8 -Dpolicy.only=STRATKA,THIRD_OF_CAPACITY}.
 */
@Tag("benchmark")
class PolicyComparison {
    private static final String HEAD =
            "| policy | weighted sum | cost µ/request | first token p50 | p95 | p99 ms | between tokens p50 | p95 | p99 ms "
                    + "| sent away % | refused % | late % | goodput/s | decision p99 ms |";

    private final int seeds = Integer.getInteger("policy.seeds", 5);
    private final int parallel = Integer.getInteger("policy.parallel", 8);
    private final String only = System.getProperty("policy.only", "");

    @Test
    void shouldCompareThePolicies() throws InterruptedException, ExecutionException {
        int tables = 0;
        for (Deployment deployment : Deployment.values()) {
            for (Scenario scenario : Scenario.values()) {
                if (chosen(deployment) && chosen(scenario)) {
                    System.out.println(table(deployment, scenario));
                    tables++;
                }
            }
        }
        assertThat(tables).isPositive();
    }

    private boolean chosen(Enum<?> one) {
        boolean named = false;
        for (Object other : one.getDeclaringClass().getEnumConstants()) {
            named |= only.contains(other.toString());
        }
        return !named || only.contains(one.toString());
    }

    private String table(Deployment deployment, Scenario scenario) throws InterruptedException, ExecutionException {
        Map<Contender, List<Future<Figures>>> running = new EnumMap<>(Contender.class);
        try (ExecutorService pool = Executors.newFixedThreadPool(parallel)) {
            for (int seed = 1; seed <= seeds; seed++) {
                for (Contender contender : Contender.values()) {
                    long s = seed;
                    running.computeIfAbsent(contender, c -> new ArrayList<>())
                            .add(pool.submit(() -> run(deployment, scenario, contender, s)));
                }
            }
        }
        Map<Contender, List<Figures>> all = new EnumMap<>(Contender.class);
        for (Map.Entry<Contender, List<Future<Figures>>> entry : running.entrySet()) {
            List<Figures> done = new ArrayList<>();
            for (Future<Figures> one : entry.getValue()) {
                done.add(one.get());
            }
            all.put(entry.getKey(), done);
        }
        return render(deployment, scenario, all);
    }

    private static Figures run(Deployment deployment, Scenario scenario, Contender contender, long seed)
            throws StandinStartException, ExecutionException, InterruptedException {
        try (World world = new World(deployment, scenario, contender)) {
            return world.run(seed);
        }
    }

    private static String render(Deployment deployment, Scenario scenario, Map<Contender, List<Figures>> all) {
        double cheapest = Double.MAX_VALUE;
        for (List<Figures> runs : all.values()) {
            cheapest = Math.min(cheapest, median(runs, Figures::costPerGood));
        }
        double unit = cheapest;
        StringBuilder out = new StringBuilder("\n### " + deployment + " " + scenario + "\n\n" + HEAD + "\n");
        out.append("|---".repeat(14)).append("|\n");
        for (Map.Entry<Contender, List<Figures>> entry : all.entrySet()) {
            List<Figures> runs = entry.getValue();
            out.append("| ")
                    .append(entry.getKey().name().toLowerCase(Locale.ROOT).replace('_', ' '));
            cell(out, runs, "%.3f", f -> sum(deployment, f, unit));
            cell(out, runs, "%.1f", f -> f.costPerGood() * 1e6);
            cell(out, runs, "%.0f", f -> f.firstToken(0.5));
            cell(out, runs, "%.0f", f -> f.firstToken(0.95));
            cell(out, runs, "%.0f", f -> f.firstToken(0.99));
            cell(out, runs, "%.0f", f -> f.between(0.5));
            cell(out, runs, "%.0f", f -> f.between(0.95));
            cell(out, runs, "%.0f", f -> f.between(0.99));
            cell(out, runs, "%.1f", f -> 100 * f.share(Figures.Sample::away));
            cell(out, runs, "%.1f", f -> 100 * f.share(Figures.Sample::refused));
            cell(out, runs, "%.1f", f -> 100 * f.share(Figures.Sample::late));
            cell(out, runs, "%.0f", Figures::goodPerSecond);
            cell(out, runs, "%.2f", f -> f.gateway(0.99));
            out.append(" |\n");
        }
        return out.toString();
    }

    /** The deployment's weighted sum: cost over the cheapest, p99 over target, share sent away. */
    private static double sum(Deployment deployment, Figures f, double cheapest) {
        return deployment.weights().cost() * f.costPerGood() / cheapest
                + deployment.weights().tail()
                        * f.firstToken(0.99)
                        / deployment.weights().firstTokenTargetMs()
                + deployment.weights().sentAway() * f.share(Figures.Sample::away);
    }

    private static void cell(StringBuilder out, List<Figures> runs, String form, ToDoubleFunction<Figures> value) {
        double[] all = runs.stream().mapToDouble(value).sorted().toArray();
        out.append(" | ").append(String.format(Locale.ROOT, form, all[all.length / 2]));
        if (all.length > 1) {
            out.append(String.format(Locale.ROOT, " (" + form + "–" + form + ")", all[0], all[all.length - 1]));
        }
    }

    private static double median(List<Figures> runs, ToDoubleFunction<Figures> value) {
        double[] all = runs.stream().mapToDouble(value).sorted().toArray();
        return all[all.length / 2];
    }
}
