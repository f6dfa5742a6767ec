package org.ibissaddle.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class RetryBudgetTest {
    private static final int BURST = 10;
    private static final long DELAY_MS = 3_000;
    private static final long FILL_TIME_MS = 20_000;

    private final AtomicLong nowMs = new AtomicLong();
    private final AtomicInteger burst = new AtomicInteger(BURST);

    @Test
    void shouldBeFullAtFirst() {
        assertThat(retriesOf(RetryBudget.of(0.1, BURST))).isEqualTo(BURST);
    }

    @Nested
    class Filling {
        private final RetryBudget budget =
                RetryBudget.filling(0.1, burst::get, nowMs::get, nowMs.get(), DELAY_MS, FILL_TIME_MS);

        @Test
        void shouldFillByTimeAfterTheDelay() {
            nowMs.set(DELAY_MS);
            assertThat(retriesOf(budget)).isZero();

            nowMs.addAndGet(FILL_TIME_MS / 2);
            assertThat(retriesOf(budget)).isEqualTo(BURST / 2);
        }

        @Test
        void shouldFillByTimeHoweverOftenItIsUsed() {
            int retries = 0;
            for (int i = 0; i < DELAY_MS + FILL_TIME_MS; i++) {
                nowMs.incrementAndGet();
                retries += retriesOf(budget);
            }
            assertThat(retries).isEqualTo(BURST);
        }

        @Test
        void shouldFillByCallsUpToTheBurst() {
            for (int i = 0; i < 1_000; i++) {
                budget.recordCall();
            }
            assertThat(retriesOf(budget)).isEqualTo(BURST);
        }

        @Test
        void shouldKeepItsTokensWhenTheBurstGrows() {
            nowMs.set(DELAY_MS + FILL_TIME_MS);
            budget.recordCall();
            burst.set(10 * BURST);

            assertThat(retriesOf(budget)).isEqualTo(BURST);
        }

        @Test
        void shouldHoldNoMoreThanABurstThatShrinks() {
            nowMs.set(DELAY_MS + FILL_TIME_MS);
            budget.recordCall();
            burst.set(2);

            assertThat(retriesOf(budget)).isEqualTo(2);
        }

        @Test
        void shouldNeitherLoseNorAddTokensWhenTheClockIsSetBack() {
            nowMs.set(DELAY_MS + FILL_TIME_MS / 2);
            budget.recordCall();
            nowMs.set(0);
            assertThat(retriesOf(budget)).isEqualTo(BURST / 2);

            nowMs.set(FILL_TIME_MS);
            assertThat(retriesOf(budget)).isEqualTo(BURST);
        }

        @Test
        void shouldKeepTheDelayWhenTheClockIsSetBack() {
            nowMs.set(DELAY_MS / 3);
            budget.recordCall();
            nowMs.set(-FILL_TIME_MS);
            budget.recordCall();
            nowMs.addAndGet(DELAY_MS / 2);

            assertThat(retriesOf(budget)).isZero();
        }
    }

    private static int retriesOf(RetryBudget budget) {
        int retries = 0;
        while (budget.tryAcquire()) {
            retries++;
        }
        return retries;
    }
}
