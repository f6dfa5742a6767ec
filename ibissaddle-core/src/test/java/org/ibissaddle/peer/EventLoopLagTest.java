package org.ibissaddle.peer;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Load pattern: a machine with a quarter of a core receives more requests than it can read. */
class EventLoopLagTest {
    private static final long OBJECTIVE_MS = 500;

    private final EventLoopLag lag = new EventLoopLag();
    private long nowMs;

    private void record(long lagMs, int times) {
        for (int i = 0; i < times; i++) {
            nowMs += 100 + lagMs;
            lag.record(lagMs, OBJECTIVE_MS, nowMs);
        }
    }

    @Test
    void shouldBeBehindWhenTheLagLasts() {
        record(150, 3);
        assertThat(lag.isBehind()).isFalse();

        record(150, 3);
        assertThat(lag.isBehind()).isTrue();
        assertThat(lag.averageMs()).isBetween(100L, 150L);
    }

    // A pause of the garbage collector would send all callers elsewhere.
    @Test
    void shouldNotBeBehindAfterASinglePause() {
        record(400, 1);

        assertThat(lag.isBehind()).isFalse();
    }

    // Callers would change back and forth between instances that are loaded alike.
    @Test
    void shouldCatchUpOnlyAfterTheLagHasStayedLow() {
        record(300, 10);
        record(60, 20);
        assertThat(lag.isBehind()).isTrue();

        record(0, 10);
        assertThat(lag.isBehind()).isTrue();

        record(0, 10);
        assertThat(lag.isBehind()).isFalse();
    }
}
