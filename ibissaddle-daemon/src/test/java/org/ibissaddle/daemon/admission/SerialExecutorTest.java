package org.ibissaddle.daemon.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;

class SerialExecutorTest {
    private static final int THREADS = 8;
    private static final int TASKS = 20_000;

    private final SerialExecutor executor = new SerialExecutor();

    @Test
    void shouldRunEveryTaskAndNeverTwoAtOnce() throws Exception {
        int[] unsynchronizedCount = new int[1];
        CountDownLatch done = new CountDownLatch(THREADS * TASKS);
        for (int i = 0; i < THREADS; i++) {
            Thread.ofPlatform().start(() -> {
                for (int n = 0; n < TASKS; n++) {
                    executor.run(() -> {
                        unsynchronizedCount[0]++;
                        done.countDown();
                    });
                }
            });
        }
        done.await();

        assertThat(unsynchronizedCount[0]).isEqualTo(THREADS * TASKS);
    }

    @Test
    void shouldRunTasksAddedByATaskAfterIt() {
        List<String> order = new ArrayList<>();
        executor.run(() -> {
            executor.run(() -> order.add("second"));
            order.add("first");
        });

        assertThat(order).containsExactly("first", "second");
    }
}
