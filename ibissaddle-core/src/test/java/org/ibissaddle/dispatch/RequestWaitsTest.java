package org.ibissaddle.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class RequestWaitsTest {
    private final RequestWaits waits = new RequestWaits(1_000);

    // A log line of a caller that left couldn't tell a slow server from an instance that was behind.
    @Test
    void shouldSumTheTimeOfEachCause() {
        waits.start(RequestWaits.Cause.INTAKE, 1_010);
        waits.start(RequestWaits.Cause.QUEUE, 1_030);
        waits.start(RequestWaits.Cause.SERVER, 1_100);
        waits.start(RequestWaits.Cause.QUEUE, 1_400);

        assertThat(waits.current()).isEqualTo(RequestWaits.Cause.QUEUE);
        assertThat(waits.waitedMs(RequestWaits.Cause.BODY, 1_450)).isEqualTo(10);
        assertThat(waits.waitedMs(RequestWaits.Cause.INTAKE, 1_450)).isEqualTo(20);
        assertThat(waits.waitedMs(RequestWaits.Cause.QUEUE, 1_450)).isEqualTo(120);
        assertThat(waits.waitedMs(RequestWaits.Cause.SERVER, 1_450)).isEqualTo(300);
        assertThat(waits.waitedMs(RequestWaits.Cause.QUOTA, 1_450)).isZero();
    }

    // An instance that is behind would send requests to servers whose responses nobody waits for.
    @Test
    void shouldRejectWhatCanNoLongerBeAnswered() {
        assertThat(RequestWaits.isTooLate(3_000, 0, 0, 2_999)).isFalse();
        assertThat(RequestWaits.isTooLate(3_000, 0, 0, 3_000)).isTrue();
        assertThat(RequestWaits.isTooLate(3_000, 0, 200, 2_799)).isFalse();
        assertThat(RequestWaits.isTooLate(3_000, 0, 200, 2_800)).isTrue();
        assertThat(RequestWaits.isTooLate(3_000, 100, 200, 2_700)).isTrue();
    }
}
