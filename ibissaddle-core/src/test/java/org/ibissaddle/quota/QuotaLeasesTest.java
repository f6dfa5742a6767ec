package org.ibissaddle.quota;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.SplittableRandom;
import org.ibissaddle.id.InstanceId;
import org.ibissaddle.id.Region;
import org.ibissaddle.id.WorkspaceId;
import org.ibissaddle.route.Quota;
import org.ibissaddle.route.QuotaUnit;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests the leases of one instance, and the grants of one issuer. */
class QuotaLeasesTest {
    private static final WorkspaceId WORKSPACE = new WorkspaceId("w");
    private static final InstanceId SELF = new InstanceId("self");
    private static final InstanceId ISSUER = new InstanceId("issuer");
    private static final QuotaBounds BOUNDS = new QuotaBounds(8_000, 0.25, 190_000);
    private static final Quota QUOTA = new Quota(QuotaUnit.TOKENS, 47_000, 47_000, 200);
    private static final long NOW_MS = 50_000;

    private final QuotaLeases<String> leases = new QuotaLeases<>(SELF, BOUNDS, new SplittableRandom(1));

    private QuotaDecision request(String request, long cost, long nowMs) {
        return leases.request(request, WORKSPACE, QUOTA, cost, nowMs + 300, 31, nowMs);
    }

    private List<LeaseBatch> due(long nowMs) {
        return leases.takeDue(workspace -> ISSUER, nowMs);
    }

    private List<Settled<String>> grant(long tokens, long nextMs, long sentMs, long nowMs) {
        LeaseAnswer answer = new LeaseAnswer.Granted(WORKSPACE, tokens, 1_000, nextMs, 4_000);
        return leases.onAnswers(ISSUER, List.of(answer), sentMs, nowMs);
    }

    private static List<String> admitted(List<Settled<String>> settled) {
        return settled.stream()
                .filter(one -> one.decision() instanceof QuotaDecision.Admitted)
                .map(Settled::request)
                .toList();
    }

    @Nested
    class Waiting {
        @Test
        void shouldEndWithTheAnswer() {
            assertThat(request("a", 17_000, NOW_MS)).isEqualTo(new QuotaDecision.Wait(NOW_MS + 300));
            assertThat(due(NOW_MS))
                    .singleElement()
                    .satisfies(batch -> assertThat(batch.requests())
                            .containsExactly(new LeaseRequest(WORKSPACE, List.of(17_000L), 0, 0)));

            assertThat(admitted(grant(17_000, 0, NOW_MS, NOW_MS + 2))).containsExactly("a");
        }

        /** Guards against several lease requests for the same need. */
        @Test
        void shouldHaveOneLeaseRequestInFlight() {
            request("a", 17_000, NOW_MS);
            assertThat(due(NOW_MS)).hasSize(1);
            request("b", 17_000, NOW_MS + 1);

            assertThat(due(NOW_MS + 1)).isEmpty();
        }

        /** Guards against charging a request whose caller has left. */
        @Test
        void shouldEndWhenTheCallerLeaves() {
            request("a", 17_000, NOW_MS);
            due(NOW_MS);
            leases.cancel(WORKSPACE, "a");

            assertThat(grant(17_000, 0, NOW_MS, NOW_MS + 2)).isEmpty();
            assertThat(leases.state(WORKSPACE, NOW_MS + 2).heldTokens()).isEqualTo(17_000);
        }

        @Test
        void shouldEndAfterItsMaximumWait() {
            request("a", 93_000, NOW_MS);
            due(NOW_MS);
            grant(0, 50, NOW_MS, NOW_MS + 2);

            assertThat(leases.settleExpired(NOW_MS + 299)).isEmpty();
            assertThat(leases.settleExpired(NOW_MS + 300))
                    .singleElement()
                    .satisfies(one -> assertThat(one.decision()).isInstanceOf(QuotaDecision.Rejected.class));
        }

        @Test
        void shouldEndWhenTheWorkspaceIsRemoved() {
            request("a", 17_000, NOW_MS);

            assertThat(leases.retain(workspace -> false)).hasSize(1);
            assertThat(leases.state(WORKSPACE, NOW_MS).waiting()).isZero();
        }
    }

    @Nested
    class Rejection {
        /** Guards against holding requests that the issuer has said it can't serve in time. */
        @Test
        void shouldBeImmediateWhileNoTokensAreDue() {
            request("a", 17_000, NOW_MS);
            due(NOW_MS);
            assertThat(grant(0, 900, NOW_MS, NOW_MS + 2))
                    .singleElement()
                    .satisfies(one -> assertThat(one.decision()).isInstanceOf(QuotaDecision.Rejected.class));

            assertThat(request("b", 17_000, NOW_MS + 100)).isInstanceOf(QuotaDecision.Rejected.class);
            assertThat(due(NOW_MS + 100)).isEmpty();
            assertThat(request("c", 17_000, NOW_MS + 950)).isInstanceOf(QuotaDecision.Wait.class);
        }

        /** Guards against callers that all return at the same moment. */
        @Test
        void shouldSpreadTheRetries() {
            request("a", 17_000, NOW_MS);
            due(NOW_MS);
            grant(0, 900, NOW_MS, NOW_MS);
            Set<Long> hundredths = new HashSet<>();
            for (int i = 0; i < 200; i++) {
                QuotaDecision.Rejected rejected = (QuotaDecision.Rejected) request("b" + i, 17_000, NOW_MS + 10);
                assertThat(rejected.retryAtMs()).isBetween(NOW_MS + 900, NOW_MS + 900 + 4_000);
                hundredths.add(rejected.retryAtMs() / 100);
            }

            assertThat(hundredths).hasSizeGreaterThan(30);
        }
    }

    @Nested
    class Lifetime {
        /** Guards against a delayed answer that prolongs the lease. */
        @Test
        void shouldBeCountedFromTheLeaseRequest() {
            request("a", 17_000, NOW_MS);
            due(NOW_MS);
            grant(34_000, 0, NOW_MS, NOW_MS + 250);

            assertThat(leases.state(WORKSPACE, NOW_MS + 999).heldTokens()).isEqualTo(17_000);
            assertThat(leases.state(WORKSPACE, NOW_MS + 1_000).heldTokens()).isZero();
        }

        @Test
        void shouldEndWhenTheLimitIsLowered() {
            request("a", 17_000, NOW_MS);
            due(NOW_MS);
            grant(117_000, 0, NOW_MS, NOW_MS + 1);
            Quota lowered = new Quota(QuotaUnit.TOKENS, 5_000, 5_000, 200);

            assertThat(leases.request("b", WORKSPACE, lowered, 17_000, NOW_MS + 302, 31, NOW_MS + 2))
                    .isInstanceOf(QuotaDecision.Wait.class);
        }
    }

    @Nested
    class WithoutIssuer {
        @Test
        void shouldSpendNoMoreThanTheAllowance() {
            request("first", 17_000, NOW_MS);
            leases.onFailure(due(NOW_MS).getFirst(), NOW_MS + 100);
            long spent = 0;
            for (int i = 0; i < 8_000; i += 10) {
                QuotaDecision decision = request("r" + i, 200, NOW_MS + 100 + i);
                assertThat(decision).isNotInstanceOf(QuotaDecision.Wait.class);
                spent += decision instanceof QuotaDecision.Admitted ? 200 : 0;
            }

            double perInstance = (BOUNDS.limit(QUOTA) - 9 * 47_000) / 31;
            assertThat((double) spent).isBetween(0.1 * perInstance, 0.4 * perInstance);
        }

        @Test
        void shouldAskAgainAfterATimeout() {
            request("a", 17_000, NOW_MS);
            leases.onFailure(due(NOW_MS).getFirst(), NOW_MS + 500);
            request("b", 17_000, NOW_MS + 600);

            assertThat(due(NOW_MS + 700)).isEmpty();
            assertThat(due(NOW_MS + 800)).hasSize(1);
        }
    }

    @Nested
    class Grants {
        private final QuotaIssuer issuer = new QuotaIssuer(ISSUER, BOUNDS, 0);

        private LeaseAnswer ask(String from, long... costs) {
            return ask(Optional.of(QUOTA), from, costs);
        }

        private LeaseAnswer ask(Optional<Quota> quota, String from, long... costs) {
            List<Long> waiting = new ArrayList<>();
            for (long cost : costs) {
                waiting.add(cost);
            }
            return issuer.answer(new InstanceId(from), new LeaseRequest(WORKSPACE, waiting, 0, 0), quota, NOW_MS);
        }

        private long granted(LeaseAnswer answer) {
            return ((LeaseAnswer.Granted) answer).tokens();
        }

        private void startAlone() {
            for (long nowMs = 0; nowMs <= NOW_MS; nowMs += 500) {
                issuer.observe(Map.of(), OptionalInt.of(1), nowMs);
            }
        }

        /** Guards against parts of a long request that no instance can use. */
        @Test
        void shouldBeForWholeRequests() {
            startAlone();
            assertThat(granted(ask("a", 17_000, 17_000))).isEqualTo(34_000);
            assertThat(granted(ask("b", 60_000, 60_000, 60_000)) % 60_000).isZero();
        }

        /** Guards against one instance with many requests that leaves nothing to the others. */
        @Test
        void shouldBeDividedByNeedWhenTokensAreScarce() {
            startAlone();
            ask("a", 10_000, 10_000);
            long[] many = new long[14];
            java.util.Arrays.fill(many, 10_000);
            long first = granted(ask("b", many));
            long second = granted(ask("a", 10_000, 10_000));

            assertThat(first).isBetween(70_000L, 120_000L);
            assertThat(second).isBetween(10_000L, 20_000L);
        }

        @Test
        void shouldNotBeGivenWithoutAQuota() {
            startAlone();
            assertThat(ask(Optional.empty(), "a", 10)).isInstanceOf(LeaseAnswer.NotIssuing.class);
        }

        /** Guards against a process that was suspended and goes on with its old view. */
        @Test
        void shouldNotBeGivenAfterASuspension() {
            startAlone();
            issuer.observe(Map.of(), OptionalInt.of(1), NOW_MS + 10_000);

            assertThat(issuer.answer(
                            SELF, new LeaseRequest(WORKSPACE, List.of(10L), 0, 0), Optional.of(QUOTA), NOW_MS + 10_000))
                    .isInstanceOf(LeaseAnswer.NotIssuing.class);
        }

        @Test
        void shouldNotBeGivenByAnInstanceThatIsNotFirst() {
            Map<InstanceId, Region> others = Map.of(SELF, new Region("r"), new InstanceId("x"), new Region("r"));
            QuotaIssuer other = new QuotaIssuer(ISSUER, BOUNDS, 0);
            other.observe(others, OptionalInt.of(3), 0);
            InstanceId first = other.issuerOf(WORKSPACE);
            QuotaIssuer notFirst = new QuotaIssuer(new InstanceId("y"), BOUNDS, 0);
            notFirst.observe(Map.of(first, new Region("r")), OptionalInt.of(2), 0);
            LeaseAnswer answer =
                    notFirst.answer(SELF, new LeaseRequest(WORKSPACE, List.of(10L), 0, 0), Optional.of(QUOTA), 100);

            assertThat(answer).isInstanceOf(LeaseAnswer.NotIssuing.class);
        }

        @Test
        void shouldBeCappedAtOnceByALoweredLimit() {
            startAlone();
            ask("a", 10);
            Quota lowered = new Quota(QuotaUnit.TOKENS, 5_000, 5_000, 200);
            long[] many = new long[100];
            java.util.Arrays.fill(many, 1_000);

            assertThat(granted(ask(Optional.of(lowered), "a", many))).isLessThanOrEqualTo(15_000 + 1_000);
        }
    }
}
