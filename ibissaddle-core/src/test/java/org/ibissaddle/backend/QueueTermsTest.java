package org.ibissaddle.backend;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import org.ibissaddle.id.Region;
import org.ibissaddle.id.Zone;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Covers a load spike on a deployment without workspaces, where requests queue for the servers of a region. */
class QueueTermsTest {
    private static final Region NORTH = new Region("north");
    private final QueueTerms terms = new QueueTerms(new BackendRegistry(NORTH, Map.of(new Zone("north-a"), NORTH)));

    private static QueueTerms.Request request(long objectiveMs, long timeoutMs) {
        RequestTerms wanted = new RequestTerms(2, 1_000, 1_000 + objectiveMs);
        return new QueueTerms.Request("ledger", RequestDemand.PLAIN, wanted, "", "reads", 1_000 + timeoutMs);
    }

    @Nested
    class WithoutWorkspaces {
        /** Guards against late requests that take the servers from those that could still be in time. */
        @Test
        void shouldWaitOnlyAsLongAsTheResponseCanBeInTime() {
            QueueOrder.Waiter waiter = terms.inOrderOfArrival(request(500, 8_000));

            assertThat(waiter.inTimeUntilMs()).isEqualTo(1_300);
            assertThat(waiter.giveUpAtMs()).isEqualTo(1_300);
        }

        @Test
        void shouldLeaveHalfOfAShortTimeoutForAnotherAttempt() {
            assertThat(terms.inOrderOfArrival(request(500, 400)).giveUpAtMs()).isEqualTo(1_200);
        }
    }

    @Nested
    class WithWorkspaces {
        @Test
        void shouldLetALateRequestWaitUpToHalfOfItsTimeout() {
            assertThat(terms.of(request(500, 8_000)).giveUpAtMs()).isEqualTo(5_000);
        }
    }
}
