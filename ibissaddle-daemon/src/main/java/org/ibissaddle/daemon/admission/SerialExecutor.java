package org.ibissaddle.daemon.admission;

import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Runs short tasks one at a time without a lock. The thread that finds the executor idle runs its own task and the
 * tasks that other threads add in the meantime.
 */
final class SerialExecutor {
    private final ConcurrentLinkedQueue<Runnable> tasks = new ConcurrentLinkedQueue<>();
    private final AtomicInteger pending = new AtomicInteger();

    /** Runs a task in the calling thread, or queues it for the thread that is currently running tasks. */
    void run(Runnable task) {
        tasks.add(task);
        if (pending.getAndIncrement() != 0) {
            return;
        }
        do {
            tasks.remove().run();
        } while (pending.decrementAndGet() != 0);
    }
}
