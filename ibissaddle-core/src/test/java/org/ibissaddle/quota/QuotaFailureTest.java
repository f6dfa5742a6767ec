package org.ibissaddle.quota;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests each failure of an issuer, a link or a message with a demand of 3.5 times the limit. */
class QuotaFailureTest {
    private static final QuotaBounds BOUNDS = new QuotaBounds(8_000, 0.25, 190_000);
    private static final int INSTANCES = 31;
    private static final long PER_SECOND = 1_000_000;
    private static final double DEMAND = 3.5 * PER_SECOND / INSTANCES;

    private QuotaSimulation simulation;

    @BeforeEach
    void start() {
        simulation = new QuotaSimulation(11, INSTANCES, BOUNDS, PER_SECOND, PER_SECOND);
    }

    private void warmUp() {
        simulation.run(10_000, (index, ms) -> 0);
        run(4_000);
    }

    private void run(long durationMs) {
        simulation.resetCounts();
        simulation.run(durationMs, (index, ms) -> DEMAND);
    }

    /** Returns what was admitted since the last start of a run, as a fraction of the limit. */
    private double used(long durationMs) {
        return simulation.admitted / (PER_SECOND * durationMs / 1_000.0);
    }

    private void assertBound() {
        assertThat(simulation.worstWindow()).as(simulation.toString()).isLessThanOrEqualTo(1);
    }

    @Nested
    class Issuer {
        @Test
        void shouldBeReplacedAfterItsDeath() {
            warmUp();
            simulation.issuer().kill();
            run(3_000);
            assertThat(used(3_000)).as("allowance").isBetween(0.02, 0.6);
            run(5_000);
            run(5_000);

            assertThat(used(5_000)).as("next issuer").isGreaterThan(0.8);
            assertBound();
        }

        @Test
        void shouldIssueAfterItsRestartOnlyWhenTheHoldDownIsOver() {
            warmUp();
            for (int restart = 0; restart < 8; restart++) {
                simulation.issuer().restart();
                run(1_000);
            }

            assertThat(used(1_000)).isLessThan(0.3);
            assertBound();
        }

        @Test
        void shouldStartWithAnEmptyBucket() {
            warmUp();
            simulation.issuer().restart();
            run(QuotaIssuer.HOLD_DOWN_MS);
            run(1_000);

            assertThat(used(1_000)).isLessThan(1.3);
        }

        @Test
        void shouldStopIssuingToItselfWhenItsMessagesAreNotAnswered() {
            warmUp();
            QuotaSimulation.Node issuer = simulation.issuer();
            simulation.links = (from, to) -> from != issuer.index;
            run(10_000);
            simulation.resetCounts();
            simulation.run(8_000, (index, ms) -> index == issuer.index ? 2 * PER_SECOND : 0);

            assertThat(used(8_000)).isLessThan(0.1);
            assertBound();
        }
    }

    @Nested
    class Partition {
        @Test
        void shouldKeepBothSidesWithinOneRate() {
            warmUp();
            Set<Integer> side = half();
            simulation.links = (from, to) -> side.contains(from) == side.contains(to);
            run(12_000);
            run(20_000);

            assertThat(used(20_000)).isBetween(0.8, 1.15);
            assertBound();
        }

        @Test
        void shouldKeepTheRateWhenHalfOfTheInstancesHearTheIssuerOnly() {
            warmUp();
            Set<Integer> side = half();
            assertThat(side).contains(simulation.issuer().index);
            simulation.links = (from, to) -> !side.contains(from) || side.contains(to);
            run(12_000);
            run(20_000);

            assertThat(used(20_000)).isBetween(0.5, 1.2);
            assertBound();
        }

        @Test
        void shouldUseTheWholeRateAgainWhenItHeals() {
            warmUp();
            Set<Integer> side = half();
            simulation.links = (from, to) -> side.contains(from) == side.contains(to);
            run(15_000);
            simulation.links = (from, to) -> true;
            run(6_000);
            run(10_000);

            assertThat(used(10_000)).isGreaterThan(0.9);
            assertBound();
        }

        private Set<Integer> half() {
            Set<Integer> side = new HashSet<>();
            side.add(simulation.issuer().index);
            for (int index = 0; side.size() < INSTANCES / 2; index++) {
                side.add(index);
            }
            return side;
        }
    }

    @Nested
    class Restarts {
        @Test
        void shouldKeepTheBoundWhenHalfOfTheInstancesRestartAtOnce() {
            warmUp();
            simulation.nodes.stream().limit(16).forEach(QuotaSimulation.Node::kill);
            run(1_000);
            simulation.nodes.stream().limit(16).forEach(QuotaSimulation.Node::restart);
            run(10_000);
            run(5_000);

            assertThat(used(5_000)).isGreaterThan(0.8);
            assertBound();
        }

        /** After a crash of all instances the callers are there at once, and all are in their hold-down. */
        @Test
        void shouldServeAPartAtOnceAfterACrashOfAll() {
            run(QuotaIssuer.HOLD_DOWN_MS);
            assertThat(used(QuotaIssuer.HOLD_DOWN_MS)).isBetween(0.08, 0.6);
            run(12_000);

            assertBound();
        }

        @Test
        void shouldServeAPartOfASmallWorkspaceAfterACrashOfAll() {
            double admitted = 0;
            for (int seed = 0; seed < 20; seed++) {
                simulation = new QuotaSimulation(seed, INSTANCES, BOUNDS, 47_000, 47_000);
                simulation.run(3_000, (index, ms) -> 3.5 * 47_000 / INSTANCES);
                admitted += simulation.admitted;
                simulation.run(12_000, (index, ms) -> 3.5 * 47_000 / INSTANCES);
                assertBound();
            }

            assertThat(admitted / 20).isBetween(0.2 * 3 * 47_000, 3.0 * 47_000);
        }
    }

    @Nested
    class Messages {
        @Test
        void shouldLoseOnlyTheTokensOfLostAnswers() {
            simulation.lossRate = 0.1;
            warmUp();
            run(20_000);

            assertThat(used(20_000)).isBetween(0.6, 1.1);
            assertBound();
        }

        /** Leases that arrive late must not be spent late: the callers are idle at first and then send all at once. */
        @Test
        void shouldNotSpendDelayedLeasesAfterTheirLifetime() {
            simulation.slowRate = 0.5;
            warmUp();
            for (int wave = 0; wave < 5; wave++) {
                simulation.run(1_500, (index, ms) -> 0);
                run(3_000);
            }

            assertBound();
        }
    }

    @Nested
    class Configuration {
        @Test
        void shouldApplyALoweredLimitFromTheNextWindow() {
            warmUp();
            simulation.publish(47_000, 47_000, 4_000);
            run(20_000);
            run(10_000);

            assertThat(simulation.admitted / (10 * 47_000)).isBetween(0.7, 1.4);
            assertBound();
        }
    }
}
