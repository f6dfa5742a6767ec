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

/** Load under one random fault after another; nothing may be lost silently. Run by {@code ./run soak}. */
@Tag("soak")
class SoakTest {
    private static final int CALLERS = 8;
    private static final int TOKENS = 30;

    private final Map<String, Integer> counts = new TreeMap<>();
    private final Map<String, Integer> faults = new TreeMap<>();

    @Test
    void shouldLoseNothingSilently() throws Exception {
        long seed = Long.getLong("soak.seed", 1);
        long minutes = Long.getLong("soak.minutes", 1);
        SplittableRandom random = new SplittableRandom(seed);
        long endNanos = System.nanoTime() + TimeUnit.MINUTES.toNanos(minutes);
        List<Call> silent = new ArrayList<>();
        try (World world = new World(DeploymentSpec.cooperative())) {
            world.restartCrashedEngines();
            while (System.nanoTime() < endNanos) {
                round(world, random, silent);
            }
        }
        System.out.printf(
                "soak report: minutes=%d seed=%d faults=%s answers=%s silent=%d%n",
                minutes, seed, faults, counts, silent.size());
        assertThat(silent).isEmpty();
        assertThat(counts.get("whole")).isPositive();
    }

    private void round(World world, SplittableRandom random, List<Call> silent)
            throws IOException, InterruptedException {
        List<String> instances = world.fleet.instanceNames();
        String victim = instances.get(random.nextInt(instances.size()));
        String fault = breakSomething(world, random, victim);
        faults.merge(fault, 1, Integer::sum);
        String target = instances.get(random.nextInt(instances.size()));
        List<Call> calls = new ArrayList<>(world.chatTogether(CALLERS, "members", target, TOKENS));
        mend(world, victim, fault);
        calls.addAll(world.chatTogether(CALLERS, "members", victim, TOKENS));
        for (Call call : calls) {
            counts.merge(outcome(call), 1, Integer::sum);
            if (!call.whole() && !call.visiblyFailed()) {
                silent.add(call);
            }
        }
    }

    private static String outcome(Call call) throws IOException {
        if (call.whole()) {
            return "whole";
        }
        if (call.response().isEmpty()) {
            return "connection-broken";
        }
        return call.response().get().statusCode() == 200 ? "cut-with-error" : call.refusalType();
    }

    private static String breakSomething(World world, SplittableRandom random, String victim)
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
                damage(world, EngineFaults.none().withCutAfterEvents(4).withDuplicateEvery(3));
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

    private static void damage(World world, EngineFaults faults) {
        world.fleet.engines().values().forEach(engine -> engine.setFaults(faults));
    }

    private static void mend(World world, String victim, String fault) throws IOException, InterruptedException {
        switch (fault) {
            case "partition" -> world.fleet.clearFaults();
            case "kill" -> world.fleet.startInstance(victim);
            case "pause" -> world.fleet.process(victim).resume();
            default -> damage(world, EngineFaults.none());
        }
        world.fleet.awaitReady(victim);
    }
}
