package org.ibissaddle.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.ibissaddle.id.ServerId;
import org.ibissaddle.outcome.Fate;
import org.ibissaddle.outcome.Refusal;
import org.ibissaddle.outcome.RefusalType;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class DispatchTest {
    private static final long DEADLINE_MS = 1_000;
    private static final int MAX_RETRIES = 4;
    private static final Refusal CAUSE = Refusal.of(RefusalType.BACKEND_FAILED, "server failed", Fate.NOT_RUN);

    private static List<Evidence> possibleEvidence(int attempt) {
        ServerId server = new ServerId("s" + attempt);
        return List.of(
                new Evidence.NothingHanded(server, CAUSE),
                new Evidence.SaidNotRun(server, CAUSE),
                new Evidence.Answered(server, new Answer(200, Map.of(), new byte[0])),
                new Evidence.LostAfterWrite(server, CAUSE),
                new Evidence.CutAnswer(server, CAUSE),
                new Evidence.CutRelayed(server, CAUSE),
                new Evidence.NoPlace(CAUSE));
    }

    private static boolean provesNotRun(Evidence evidence) {
        return evidence instanceof Evidence.NothingHanded
                || evidence instanceof Evidence.SaidNotRun
                || evidence instanceof Evidence.NoPlace;
    }

    @Nested
    class EveryEvidenceSequence {
        private int finishedSequences;

        private void explore(boolean repeatable, long nowMs, List<Evidence> history) {
            Dispatch dispatch = createDispatch(repeatable, RetryBudget.of(0, MAX_RETRIES));
            Step step = dispatch.first();
            for (Evidence evidence : history) {
                step = dispatch.next(evidence, nowMs);
            }
            switch (step) {
                case Step.Finish finish -> {
                    finishedSequences++;
                    check(repeatable, history, finish.outcome());
                }
                case Step.Place place -> {
                    assertThat(place.tried()).hasSize(history.size());
                    assertThat(place.attempt()).isEqualTo(history.size());
                    for (Evidence next : possibleEvidence(history.size())) {
                        List<Evidence> extended = new ArrayList<>(history);
                        extended.add(next);
                        explore(repeatable, nowMs, extended);
                    }
                }
            }
        }

        private void check(boolean repeatable, List<Evidence> history, Outcome outcome) {
            boolean provenNotRun = history.stream().allMatch(DispatchTest::provesNotRun);
            assertThat(outcome instanceof Outcome.NotRun).as("%s", history).isEqualTo(provenNotRun);
            if (outcome instanceof Outcome.Ran) {
                assertThat(history.get(history.size() - 1)).isInstanceOf(Evidence.Answered.class);
            }
            if (outcome.fate() == Fate.RAN) {
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

    private static boolean provesRan(Evidence evidence) {
        return evidence instanceof Evidence.Answered
                || evidence instanceof Evidence.CutAnswer
                || evidence instanceof Evidence.CutRelayed;
    }

    private static Dispatch createDispatch(boolean repeatable, RetryBudget budget) {
        return repeatable ? Dispatch.repeatable(DEADLINE_MS, budget) : Dispatch.once(DEADLINE_MS, budget);
    }

    @Nested
    class Budget {
        @Test
        void shouldLimitRetriesToFractionOfCalls() {
            RetryBudget budget = RetryBudget.of(0.1, 2);
            int retries = 0;
            for (int i = 0; i < 100; i++) {
                Dispatch dispatch = createDispatch(true, budget);
                Step step = dispatch.next(possibleEvidence(0).get(0), 0);
                retries += step instanceof Step.Place ? 1 : 0;
            }
            assertThat(retries).isEqualTo(2 + 9);
        }
    }
}
