package org.ibissaddle.proof.scenario;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.ibissaddle.cli.deployment.DeploymentSpec;
import org.ibissaddle.standins.EngineFaults;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/**
 * Sends load while it injects random faults one after another. Fails if an incomplete answer looks complete to its
 * caller. Run by {@code ./run soak}.
 */
@Tag("soak")
class SoakTest {
    private static final int CALLERS = 8;
    private static final int TOKENS = 30;

    private final Map<String, Integer> outcomeCounts = new TreeMap<>();
    private final Map<String, Integer> faultCounts = new TreeMap<>();

    @Test
    void shouldReportEveryIncompleteAnswer() throws Exception {
        long seed = Long.getLong("soak.seed", 1);
        long minutes = Long.getLong("soak.minutes", 1);
        SplittableRandom random = new SplittableRandom(seed);
        long endNanos = System.nanoTime() + TimeUnit.MINUTES.toNanos(minutes);
        List<Call> undetected = new ArrayList<>();
        try (World world = new World(DeploymentSpec.cooperative())) {
            world.restartCrashedEngines();
            while (System.nanoTime() < endNanos) {
                runRound(world, random, undetected);
            }
        }
        System.out.printf(
                "soak report: minutes=%d seed=%d faults=%s answers=%s silent=%d%n",
                minutes, seed, faultCounts, outcomeCounts, undetected.size());
        assertThat(undetected).isEmpty();
        assertThat(outcomeCounts.get("whole")).isPositive();
    }

    private void runRound(World world, SplittableRandom random, List<Call> undetected)
            throws IOException, InterruptedException {
        List<String> instances = world.fleet.instanceNames();
        String victim = instances.get(random.nextInt(instances.size()));
        String fault = injectFault(world, random, victim);
        faultCounts.merge(fault, 1, Integer::sum);
        String target = instances.get(random.nextInt(instances.size()));
        List<Call> calls = new ArrayList<>(world.chatConcurrently(CALLERS, "members", target, TOKENS));
        removeFault(world, victim, fault);
        calls.addAll(world.chatConcurrently(CALLERS, "members", victim, TOKENS));
        for (Call call : calls) {
            outcomeCounts.merge(outcome(call), 1, Integer::sum);
            if (!call.isComplete() && !call.failedVisibly()) {
                undetected.add(call);
            }
        }
    }

    private static String outcome(Call call) throws IOException {
        if (call.isComplete()) {
            return "whole";
        }
        if (call.response().isEmpty()) {
            return "connection-broken";
        }
        return call.response().get().statusCode() == 200 ? "cut-with-error" : call.refusalType();
    }

    private static String injectFault(World world, SplittableRandom random, String victim)
            throws IOException, InterruptedException {
        return switch (random.nextInt(5)) {
            case 0 -> {
                world.fleet.isolateRegion(world.fleet.region(victim));
                yield "partition";
            }
            case 1 -> {
                world.fleet.process(victim).kill();
                yield "kill";
            }
            case 2 -> {
                world.fleet.process(victim).pause();
                yield "pause";
            }
            case 3 -> {
                setEngineFaults(world, EngineFaults.none().withCutAfterEvents(4).withDuplicateEvery(3));
                yield "damaged-answers";
            }
            default -> {
                List<String> engines = List.copyOf(world.fleet.engines().keySet());
                world.fleet
                        .engines()
                        .get(engines.get(random.nextInt(engines.size())))
                        .crash();
                yield "engine-crash";
            }
        };
    }

    private static void setEngineFaults(World world, EngineFaults faults) {
        world.fleet.engines().values().forEach(engine -> engine.setFaults(faults));
    }

    private static void removeFault(World world, String victim, String fault) throws IOException, InterruptedException {
        switch (fault) {
            case "partition" -> world.fleet.clearFaults();
            case "kill" -> world.fleet.startInstance(victim);
            case "pause" -> world.fleet.process(victim).resume();
            default -> setEngineFaults(world, EngineFaults.none());
        }
        world.fleet.awaitReady(victim);
    }
}
