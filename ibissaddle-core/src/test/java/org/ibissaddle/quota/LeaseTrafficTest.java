package org.ibissaddle.quota;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.ibissaddle.id.InstanceId;
import org.ibissaddle.id.WorkspaceId;
import org.ibissaddle.route.Quota;
import org.ibissaddle.route.QuotaUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Counts the bytes of the lease messages of an instance: messages times their size. */
class LeaseTrafficTest {
    private static final QuotaBounds BOUNDS = new QuotaBounds(8_000, 0.25, 190_000);
    private static final Quota QUOTA = new Quota(QuotaUnit.TOKENS, 1_000_000, 1_000_000, 200);
    private static final int SECONDS = 20;
    /** Bytes of the heads of a message and its answer, and of the fields around the list. */
    private static final long BYTES_PER_MESSAGE = 400;
    /** Bytes of a lease request and its answer without the costs of waiting requests, and of one such cost. */
    private static final long BYTES_PER_WORKSPACE = 220;

    private static final long BYTES_PER_COST = 7;

    private record Traffic(long messagesPerS, long bytesPerS, double served) {}

    private static Traffic measure(int instances, int workspaces, int requestsPerS) {
        SplittableRandom random = new SplittableRandom(instances + workspaces);
        InstanceId self = new InstanceId("self");
        QuotaLeases<Integer> leases = new QuotaLeases<>(self, BOUNDS, random);
        List<InstanceId> issuers = new ArrayList<>();
        for (int i = 0; i < instances; i++) {
            issuers.add(new InstanceId("i" + i));
        }
        long messages = 0;
        long bytes = 0;
        long requests = 0;
        long served = 0;
        for (long nowMs = 0; nowMs < SECONDS * 1_000; nowMs += 5) {
            for (double left = requestsPerS * 0.005 - random.nextDouble(); left > 0; left--) {
                WorkspaceId workspace = new WorkspaceId("workspace-" + random.nextInt(workspaces));
                requests++;
                QuotaDecision decision =
                        leases.request((int) requests, workspace, QUOTA, 400, nowMs + 300, instances, nowMs);
                served += decision instanceof QuotaDecision.Admitted ? 1 : 0;
            }
            for (LeaseBatch batch : leases.takeDue(
                    workspace -> issuers.get(Math.floorMod(workspace.name().hashCode(), issuers.size())), nowMs)) {
                messages++;
                bytes += BYTES_PER_MESSAGE;
                List<LeaseAnswer> answers = new ArrayList<>();
                for (LeaseRequest request : batch.requests()) {
                    bytes += BYTES_PER_WORKSPACE
                            + BYTES_PER_COST * request.waiting().size();
                    long waiting = request.waiting().stream()
                            .mapToLong(Long::longValue)
                            .sum();
                    answers.add(new LeaseAnswer.Granted(request.workspace(), waiting + request.ahead(), 1_000, 0, 0));
                }
                served += leases.onAnswers(batch.issuer(), answers, nowMs, nowMs + 2)
                        .size();
            }
            served += leases.settleExpired(nowMs).stream()
                    .filter(one -> one.decision() instanceof QuotaDecision.Admitted)
                    .count();
        }
        return new Traffic(messages / SECONDS, bytes / SECONDS, (double) served / requests);
    }

    /** Guards against messages that grow with the workspaces: their number for each instance is bounded. */
    @ParameterizedTest
    @CsvSource({"122,16,7", "122,3000,50", "380,16,7", "380,5000,200", "380,5000,1000"})
    void shouldBeBounded(int instances, int workspaces, int requestsPerS) {
        Traffic traffic = measure(instances, workspaces, requestsPerS);

        assertThat(traffic.messagesPerS()).isLessThanOrEqualTo(QuotaLeases.MAX_BATCHES_PER_S + 1);
        assertThat(traffic.bytesPerS()).as(traffic.toString()).isLessThan(60_000);
    }

    /** The load of the deployment with 122 instances: 840 requests/s of 16 workspaces. */
    @Test
    void shouldBeSmallForADeploymentWithFewWorkspaces() {
        Traffic traffic = measure(122, 16, 7);

        assertThat(traffic.bytesPerS()).isLessThan(7_000);
        assertThat(traffic.served()).isEqualTo(1);
    }

    @Test
    void shouldBeNoneWithoutRequests() {
        QuotaLeases<String> leases = new QuotaLeases<>(new InstanceId("self"), BOUNDS, new SplittableRandom(1));

        assertThat(leases.takeDue(workspace -> new InstanceId("issuer"), 1_000)).isEmpty();
        assertThat(leases.isActive()).isFalse();
    }
}
