package org.ibissaddle.daemon.peer;

import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Function;
import org.ibissaddle.daemon.log.EventLog;
import org.ibissaddle.membership.ControlLoop;
import org.ibissaddle.membership.ControlLoopAction;
import org.ibissaddle.membership.ControlLoopEvent;
import org.ibissaddle.membership.Gossip;
import org.ibissaddle.membership.ListRequest;
import org.ibissaddle.membership.NoteRequest;
import org.ibissaddle.port.Clock;

/** Runs the control loop on a single thread. */
final class ControlLoopRunner implements AutoCloseable {
    private final ControlLoop loop;
    private final Clock clock;
    private final EventLog log;
    private final ScheduledExecutorService executor;
    private final BiConsumer<ControlLoop, List<ControlLoopAction>> perform;

    /** @param perform called on the control loop thread after each event, with the actions that the loop requests */
    ControlLoopRunner(
            ControlLoop loop, Clock clock, EventLog log, BiConsumer<ControlLoop, List<ControlLoopAction>> perform) {
        this.loop = loop;
        this.clock = clock;
        this.log = log;
        this.perform = perform;
        this.executor = Executors.newSingleThreadScheduledExecutor(
                Thread.ofPlatform().daemon().name("control").factory());
    }

    void start() {
        var unused = executor.scheduleWithFixedDelay(
                () -> handle(new ControlLoopEvent.Tick()), 0, ControlLoop.TICK_MS, TimeUnit.MILLISECONDS);
    }

    void submit(ControlLoopEvent event) {
        try {
            executor.execute(() -> handle(event));
        } catch (RejectedExecutionException e) {
            log.debug("event-after-close", "event", event.getClass().getSimpleName());
        }
    }

    /** Runs a task repeatedly on the control loop thread, with a fixed delay between runs. */
    void scheduleEvery(long intervalMs, Runnable task) {
        var unused = executor.scheduleWithFixedDelay(
                () -> runLoggingFailures(task), intervalMs, intervalMs, TimeUnit.MILLISECONDS);
    }

    /** Runs a task once on the control loop thread. */
    void execute(Runnable task) {
        executor.execute(() -> runLoggingFailures(task));
    }

    private void handle(ControlLoopEvent event) {
        runLoggingFailures(() -> perform.accept(loop, loop.handle(event, clock.nowMs())));
    }

    private void runLoggingFailures(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            log.warning("control-failed", "cause", e);
        }
    }

    Object answer(Gossip gossip) {
        return callOnLoop(target -> target.answer(gossip, clock.nowMs()));
    }

    Object answer(NoteRequest request) {
        return callOnLoop(target -> target.answer(request));
    }

    Object answer(ListRequest request) {
        return callOnLoop(target -> target.answer(request, clock.nowMs()));
    }

    private Object callOnLoop(Function<ControlLoop, Object> query) {
        Future<Object> answer = executor.submit(() -> query.apply(loop));
        try {
            return answer.get();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(
                    "interrupted while waiting for the control loop; the instance is stopping", e);
        } catch (ExecutionException e) {
            throw new IllegalStateException(
                    "the control loop failed to answer a peer request; this is a bug in the gateway", e.getCause());
        }
    }

    @Override
    public void close() {
        executor.shutdownNow();
    }
}
