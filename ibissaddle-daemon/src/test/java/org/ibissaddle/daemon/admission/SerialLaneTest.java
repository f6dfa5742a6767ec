package org.ibissaddle.daemon.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;

class SerialLaneTest {
    private static final int THREADS = 8;
    private static final int TASKS = 20_000;

    private final SerialLane lane = new SerialLane();

    @Test
    void shouldRunEveryTaskAndNeverTwoAtOnce() throws Exception {
        int[] plain = new int[1];
        CountDownLatch done = new CountDownLatch(THREADS * TASKS);
        for (int i = 0; i < THREADS; i++) {
            Thread.ofPlatform().start(() -> {
                for (int n = 0; n < TASKS; n++) {
                    lane.run(() -> {
                        plain[0]++;
                        done.countDown();
                    });
                }
            });
        }
        done.await();

        assertThat(plain[0]).isEqualTo(THREADS * TASKS);
    }

    @Test
    void shouldRunTasksAddedByATaskAfterIt() {
        List<String> order = new ArrayList<>();
        lane.run(() -> {
            lane.run(() -> order.add("second"));
            order.add("first");
        });

        assertThat(order).containsExactly("first", "second");
    }
}
