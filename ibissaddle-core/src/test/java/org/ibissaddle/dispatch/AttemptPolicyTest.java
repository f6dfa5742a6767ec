package org.ibissaddle.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import org.ibissaddle.dispatch.AttemptPolicy.Evidence;
import org.ibissaddle.dispatch.AttemptPolicy.Next;
import org.ibissaddle.dispatch.AttemptPolicy.Progress;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class AttemptPolicyTest {
    @Nested
    class NonIdempotent {
        @Test
        void shouldNotRetryAfterPossibleExecution() {
            assertThat(AttemptPolicy.next(new Progress(false, false, 1, 5, 1), Evidence.MAY_HAVE_RUN))
                    .isEqualTo(Next.FAIL);
            assertThat(AttemptPolicy.next(new Progress(false, true, 1, 5, 2), Evidence.NOT_RUN))
                    .isEqualTo(Next.FAIL);
        }

        @Test
        void shouldRetryWhenNotExecuted() {
            assertThat(AttemptPolicy.next(new Progress(false, false, 0, 1, 1), Evidence.NOT_RUN))
                    .isEqualTo(Next.RETRY);
        }
    }

    @Nested
    class Attempts {
        @Test
        void shouldLimitServersThatMayExecuteRequest() {
            assertThat(AttemptPolicy.next(new Progress(true, false, 1, 2, 1), Evidence.MAY_HAVE_RUN))
                    .isEqualTo(Next.RETRY);
            assertThat(AttemptPolicy.next(new Progress(true, true, 2, 2, 2), Evidence.MAY_HAVE_RUN))
                    .isEqualTo(Next.FAIL);
        }

        @Test
        void shouldLimitSendsOfRejectedRequest() {
            assertThat(AttemptPolicy.next(new Progress(true, false, 0, 1, 9), Evidence.NOT_RUN))
                    .isEqualTo(Next.REFUSE);
        }
    }

    @Nested
    class Budget {
        @Test
        void shouldStayWithinDeploymentSlackWithoutCoordination() {
            double slack = 56;
            long windowMs = 10_000;
            int instances = 4;
            SharedRetryBudget budget = new SharedRetryBudget(0.2, slack, windowMs, 0);
            int taken = 0;
            for (long nowMs = 0; nowMs < 3 * windowMs; nowMs += 10) {
                boolean counted = nowMs >= windowMs && nowMs < 2 * windowMs;
                while (budget.take(instances, nowMs)) {
                    taken += counted ? 1 : 0;
                }
            }
            assertThat(taken * instances).isLessThanOrEqualTo((int) slack);
        }
    }
}
