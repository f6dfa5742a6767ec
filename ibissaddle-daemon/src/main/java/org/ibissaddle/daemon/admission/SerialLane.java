package org.ibissaddle.daemon.admission;

import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Runs short tasks one after the other without a lock: the thread that finds the lane idle runs its own task and those
 * that other threads add meanwhile.
 */
final class SerialLane {
    private final ConcurrentLinkedQueue<Runnable> tasks = new ConcurrentLinkedQueue<>();
    private final AtomicInteger pending = new AtomicInteger();

    /** Runs a task now, or lets the thread that runs the lane do it. */
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
