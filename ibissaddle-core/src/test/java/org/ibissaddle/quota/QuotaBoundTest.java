package org.ibissaddle.quota;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashSet;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests that the servers never receive more than the bound, and that little is rejected below the limit. */
class QuotaBoundTest {
    private static final QuotaBounds BOUNDS = new QuotaBounds(8_000, 0.25, 190_000);
    private static final long[] RATES = {47_000, 250_000, 1_000_000};
    private static final int INSTANCES = 31;
    private static final long WARM_UP_MS = 15_000;

    private static QuotaSimulation simulation(long seed, int instances, long perSecond) {
        return new QuotaSimulation(seed, instances, BOUNDS, perSecond, perSecond);
    }

    @Nested
    class Property {
        /** Guards against any order of faults in which two instances issue the same tokens, or one issues them late. */
        @ParameterizedTest
        @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22, 23, 24})
        void shouldKeepTheBoundUnderRandomFaults(long seed) {
            SplittableRandom random = new SplittableRandom(seed * 7_919);
            long perSecond = RATES[random.nextInt(RATES.length)];
            int instances = 6 + random.nextInt(26);
            QuotaSimulation simulation = simulation(seed, instances, perSecond);
            simulation.meanCost = random.nextBoolean() ? 17_000 : 3_000;
            double demand = perSecond * (0.5 + 7.5 * random.nextDouble());
            int hot = 1 + random.nextInt(instances);
            simulation.run(random.nextLong(15_000), (index, ms) -> 0);
            for (int phase = 0; phase < 8; phase++) {
                simulation.lossRate = random.nextInt(4) == 0 ? 0.1 : 0;
                simulation.slowRate = random.nextInt(4) == 0 ? 0.2 : 0;
                if (phase > 0) {
                    applyRandomFault(simulation, random);
                }
                int first = random.nextInt(instances);
                boolean idle = random.nextInt(6) == 0;
                simulation.run(
                        1_000 + random.nextLong(9_000),
                        (index, ms) -> idle || (index - first + instances) % instances >= hot ? 0 : demand / hot);
            }

            assertThat(simulation.worstWindow()).as(simulation.toString()).isLessThanOrEqualTo(1);
        }

        private static void applyRandomFault(QuotaSimulation simulation, SplittableRandom random) {
            Set<Integer> side = new HashSet<>();
            simulation.nodes.forEach(node -> {
                if (random.nextBoolean()) {
                    side.add(node.index);
                }
            });
            switch (random.nextInt(7)) {
                case 0 -> simulation.links = (from, to) -> side.contains(from) == side.contains(to);
                case 1 -> simulation.links = (from, to) -> !side.contains(from) || side.contains(to);
                case 2 -> {
                    int issuer = simulation.issuer().index;
                    simulation.links = (from, to) -> from != issuer;
                }
                case 3 ->
                    simulation.nodes.stream()
                            .filter(node -> side.contains(node.index))
                            .forEach(QuotaSimulation.Node::restart);
                case 4 -> simulation.issuer().restart();
                case 5 -> {
                    long lowered = Math.max(1_000, (long) (simulation.perSecond() * random.nextDouble()));
                    simulation.publish(lowered, lowered, 4_000);
                }
                default -> simulation.links = (from, to) -> true;
            }
        }
    }

    @Nested
    class BelowTheLimit {
        /** Guards against leases that are too small for whole requests, or lost so often that demand is rejected. */
        @ParameterizedTest
        @CsvSource({"47000,400,0.9,0", "250000,17000,0.6,0.01", "1000000,17000,0.8,0.01", "1000000,400,0.9,0"})
        void shouldRejectPracticallyNothing(long perSecond, double meanCost, double load, double rejected) {
            QuotaSimulation simulation = simulation(1, INSTANCES, perSecond);
            simulation.meanCost = meanCost;
            simulation.maxCost = meanCost * 5.5;
            simulation.run(WARM_UP_MS, (index, ms) -> 0);
            simulation.run(60_000, (index, ms) -> load * perSecond / INSTANCES);

            assertThat(simulation.rejections).as(simulation.toString()).isLessThanOrEqualTo((long)
                    (simulation.requests * rejected));
        }

        /** Guards against a limit that a workspace with few, long requests can't use. */
        @Test
        void shouldRejectFewLongRequestsOfASmallWorkspace() {
            QuotaSimulation simulation = simulation(2, INSTANCES, 47_000);
            simulation.run(WARM_UP_MS, (index, ms) -> 0);
            simulation.run(300_000, (index, ms) -> 0.6 * 47_000 / INSTANCES);

            assertThat(simulation.rejections).as(simulation.toString()).isLessThanOrEqualTo((long)
                    (simulation.requests * 0.05));
        }

        /** Guards against leases that are renewed only when a request already waits for them. */
        @Test
        void shouldHardlyEverMakeSteadyTrafficWait() {
            QuotaSimulation simulation = simulation(3, INSTANCES, 1_000_000);
            simulation.meanCost = 400;
            simulation.run(WARM_UP_MS, (index, ms) -> 0);
            simulation.run(3_000, (index, ms) -> 0.8 * 1_000_000 / INSTANCES);
            simulation.resetCounts();
            simulation.run(20_000, (index, ms) -> 0.8 * 1_000_000 / INSTANCES);

            assertThat((double) simulation.waits / simulation.requests)
                    .as(simulation.toString())
                    .isLessThan(0.03);
        }

        /** Guards against rejecting for good a request that costs more than the burst. */
        @Test
        void shouldAdmitARequestThatCostsMoreThanTheBurst() {
            QuotaSimulation simulation = simulation(4, INSTANCES, 10_000);
            simulation.meanCost = 93_000;
            simulation.run(WARM_UP_MS, (index, ms) -> 0);
            simulation.run(120_000, (index, ms) -> 3_000.0 / INSTANCES);

            assertThat(simulation.admitted / simulation.offered)
                    .as(simulation.toString())
                    .isGreaterThan(0.5);
        }
    }

    @Nested
    class AboveTheLimit {
        @ParameterizedTest
        @CsvSource({"47000,17000", "250000,17000", "1000000,17000", "1000000,3000"})
        void shouldUseTheLimit(long perSecond, double meanCost) {
            QuotaSimulation simulation = simulation(5, INSTANCES, perSecond);
            simulation.meanCost = meanCost;
            simulation.run(WARM_UP_MS, (index, ms) -> 0);
            simulation.run(2_000, (index, ms) -> 3.5 * perSecond / INSTANCES);
            simulation.resetCounts();
            simulation.run(20_000, (index, ms) -> 3.5 * perSecond / INSTANCES);

            assertThat(simulation.admitted / (20 * perSecond))
                    .as(simulation.toString())
                    .isBetween(0.8, 1.3);
        }

        /** Load pattern: eight times the usual load through a few instances, which then move to others. */
        @Test
        void shouldServeASpikeThroughAFewInstances() {
            QuotaSimulation simulation = simulation(6, INSTANCES, 250_000);
            simulation.meanCost = 3_000;
            simulation.run(WARM_UP_MS, (index, ms) -> 0.7 * 250_000 / INSTANCES);
            simulation.resetCounts();
            simulation.run(10_000, (index, ms) -> index < 3 ? 5.6 * 250_000 / 3 : 0);
            simulation.run(10_000, (index, ms) -> index >= 20 && index < 23 ? 5.6 * 250_000 / 3 : 0);

            assertThat(simulation.admitted / (20 * 250_000))
                    .as(simulation.toString())
                    .isGreaterThan(0.8);
            assertThat(simulation.worstWindow()).isLessThanOrEqualTo(1);
        }
    }
}
