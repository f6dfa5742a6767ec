package org.ibissaddle.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.ibissaddle.id.ServerId;
import org.ibissaddle.outcome.ExecutionStatus;
import org.ibissaddle.outcome.Refusal;
import org.ibissaddle.outcome.RefusalType;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class DispatchTest {
    private static final long DEADLINE_MS = 1_000;
    private static final int MAX_RETRIES = 4;
    private static final Refusal CAUSE =
            Refusal.of(RefusalType.BACKEND_FAILED, "server failed", ExecutionStatus.NOT_RUN);

    private static List<AttemptResult> possibleResults(int attempt) {
        ServerId server = new ServerId("s" + attempt);
        return List.of(
                new AttemptResult.Unsent(server, CAUSE),
                new AttemptResult.ReportedNotRun(server, CAUSE),
                new AttemptResult.Answered(server, new Answer(200, Map.of(), new byte[0])),
                new AttemptResult.LostAfterWrite(server, CAUSE),
                new AttemptResult.TruncatedResponse(server, CAUSE),
                new AttemptResult.TruncatedRelayedResponse(server, CAUSE),
                new AttemptResult.NoServerAvailable(CAUSE));
    }

    private static boolean provesNotRun(AttemptResult result) {
        return result instanceof AttemptResult.Unsent
                || result instanceof AttemptResult.ReportedNotRun
                || result instanceof AttemptResult.NoServerAvailable;
    }

    @Nested
    class EveryEvidenceSequence {
        private int finishedSequences;

        private void explore(boolean repeatable, long nowMs, List<AttemptResult> history) {
            Dispatch dispatch = createDispatch(repeatable, RetryBudget.of(0, MAX_RETRIES));
            Step step = dispatch.first();
            for (AttemptResult result : history) {
                step = dispatch.next(result, nowMs);
            }
            switch (step) {
                case Step.Finish finish -> {
                    finishedSequences++;
                    check(repeatable, history, finish.outcome());
                }
                case Step.SelectServer place -> {
                    assertThat(place.tried()).hasSize(history.size());
                    assertThat(place.attempt()).isEqualTo(history.size());
                    for (AttemptResult next : possibleResults(history.size())) {
                        List<AttemptResult> extended = new ArrayList<>(history);
                        extended.add(next);
                        explore(repeatable, nowMs, extended);
                    }
                }
            }
        }

        private void check(boolean repeatable, List<AttemptResult> history, Outcome outcome) {
            boolean provenNotRun = history.stream().allMatch(DispatchTest::provesNotRun);
            assertThat(outcome instanceof Outcome.NotRun).as("%s", history).isEqualTo(provenNotRun);
            if (outcome instanceof Outcome.Ran) {
                assertThat(history.get(history.size() - 1)).isInstanceOf(AttemptResult.Answered.class);
            }
            if (outcome.executionStatus() == ExecutionStatus.RAN) {
                assertThat(history).anyMatch(DispatchTest::provesRan);
            }
            long possibleExecutions =
                    history.stream().filter(e -> !provesNotRun(e)).count();
            assertThat(possibleExecutions).as("%s", history).isLessThanOrEqualTo(repeatable ? MAX_RETRIES + 1 : 1);
        }

        @Test
        void shouldReportNotRunIfAndOnlyIfEveryAttemptProvesIt() {
            explore(true, 0, List.of());
            explore(false, 0, List.of());
            explore(true, DEADLINE_MS, List.of());
            explore(false, DEADLINE_MS, List.of());
            assertThat(finishedSequences).isGreaterThan(1_000);
        }
    }

    private static boolean provesRan(AttemptResult result) {
        return result instanceof AttemptResult.Answered
                || result instanceof AttemptResult.TruncatedResponse
                || result instanceof AttemptResult.TruncatedRelayedResponse;
    }

    private static Dispatch createDispatch(boolean repeatable, RetryBudget budget) {
        return repeatable ? Dispatch.repeatable(DEADLINE_MS, budget) : Dispatch.atMostOnce(DEADLINE_MS, budget);
    }

    @Nested
    class Budget {
        @Test
        void shouldLimitRetriesToFractionOfCalls() {
            RetryBudget budget = RetryBudget.of(0.1, 2);
            int retries = 0;
            for (int i = 0; i < 100; i++) {
                Dispatch dispatch = createDispatch(true, budget);
                Step step = dispatch.next(possibleResults(0).get(0), 0);
                retries += step instanceof Step.SelectServer ? 1 : 0;
            }
            assertThat(retries).isEqualTo(2 + 9);
        }
    }
}
