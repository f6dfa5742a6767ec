package org.ibissaddle.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.OptionalInt;
import org.ibissaddle.dispatch.AttemptPolicy.AttemptProgress;
import org.ibissaddle.dispatch.AttemptPolicy.ExecutionEvidence;
import org.ibissaddle.dispatch.AttemptPolicy.RetryDecision;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class AttemptPolicyTest {
    @Nested
    class NonIdempotent {
        @Test
        void shouldNotRetryAfterPossibleExecution() {
            assertThat(AttemptPolicy.decide(new AttemptProgress(false, false, 1, 5, 1), ExecutionEvidence.MAY_HAVE_RUN))
                    .isEqualTo(RetryDecision.FAIL);
            assertThat(AttemptPolicy.decide(new AttemptProgress(false, true, 1, 5, 2), ExecutionEvidence.NOT_RUN))
                    .isEqualTo(RetryDecision.FAIL);
        }

        @Test
        void shouldRetryWhenNotExecuted() {
            assertThat(AttemptPolicy.decide(new AttemptProgress(false, false, 0, 1, 1), ExecutionEvidence.NOT_RUN))
                    .isEqualTo(RetryDecision.RETRY);
        }
    }

    @Nested
    class Attempts {
        @Test
        void shouldLimitServersThatMayExecuteRequest() {
            assertThat(AttemptPolicy.decide(new AttemptProgress(true, false, 1, 2, 1), ExecutionEvidence.MAY_HAVE_RUN))
                    .isEqualTo(RetryDecision.RETRY);
            assertThat(AttemptPolicy.decide(new AttemptProgress(true, true, 2, 2, 2), ExecutionEvidence.MAY_HAVE_RUN))
                    .isEqualTo(RetryDecision.FAIL);
        }

        @Test
        void shouldLimitSendsOfRejectedRequest() {
            assertThat(AttemptPolicy.decide(new AttemptProgress(true, false, 0, 1, 9), ExecutionEvidence.NOT_RUN))
                    .isEqualTo(RetryDecision.REFUSE);
        }
    }

    @Nested
    class Budget {
        @Test
        void shouldStayWithinDeploymentSlackWithoutCoordination() {
            double slack = 56;
            long windowMs = 10_000;
            OptionalInt instances = OptionalInt.of(4);
            SharedRetryBudget budget = new SharedRetryBudget(0.2, slack, windowMs, 0);
            int grantedRetries = 0;
            for (long nowMs = 0; nowMs < 3 * windowMs; nowMs += 10) {
                boolean counted = nowMs >= windowMs && nowMs < 2 * windowMs;
                while (budget.tryAcquire(instances, nowMs)) {
                    grantedRetries += counted ? 1 : 0;
                }
            }
            assertThat(grantedRetries * instances.getAsInt()).isLessThanOrEqualTo((int) slack);
        }
    }
}
