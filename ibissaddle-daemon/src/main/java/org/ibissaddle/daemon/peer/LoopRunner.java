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
import org.ibissaddle.membership.Action;
import org.ibissaddle.membership.ControlLoop;
import org.ibissaddle.membership.Event;
import org.ibissaddle.membership.Gossip;
import org.ibissaddle.membership.ListRequest;
import org.ibissaddle.membership.NoteRequest;
import org.ibissaddle.port.Clock;

/** Runs the control loop on one thread. */
final class LoopRunner implements AutoCloseable {
    private final ControlLoop loop;
    private final Clock clock;
    private final EventLog log;
    private final ScheduledExecutorService thread;
    private final BiConsumer<ControlLoop, List<Action>> perform;

    /** @param perform called on the loop's thread after each event, with what the loop asks for */
    LoopRunner(ControlLoop loop, Clock clock, EventLog log, BiConsumer<ControlLoop, List<Action>> perform) {
        this.loop = loop;
        this.clock = clock;
        this.log = log;
        this.perform = perform;
        this.thread = Executors.newSingleThreadScheduledExecutor(
                Thread.ofPlatform().daemon().name("control").factory());
    }

    void start() {
        var unused = thread.scheduleWithFixedDelay(
                () -> handle(new Event.Tick()), 0, ControlLoop.TICK_MS, TimeUnit.MILLISECONDS);
    }

    void tell(Event event) {
        try {
            thread.execute(() -> handle(event));
        } catch (RejectedExecutionException e) {
            log.fine("event-after-close", "event", event.getClass().getSimpleName());
        }
    }

    /** Runs something at an interval on the loop's thread. */
    void every(long intervalMs, Runnable work) {
        var unused = thread.scheduleWithFixedDelay(() -> guarded(work), intervalMs, intervalMs, TimeUnit.MILLISECONDS);
    }

    /** Runs something once on the loop's thread. */
    void run(Runnable work) {
        thread.execute(() -> guarded(work));
    }

    private void handle(Event event) {
        guarded(() -> perform.accept(loop, loop.handle(event, clock.nowMs())));
    }

    private void guarded(Runnable work) {
        try {
            work.run();
        } catch (RuntimeException e) {
            log.warning("control-failed", "cause", e);
        }
    }

    Object answer(Gossip gossip) {
        return ask(asked -> asked.answer(gossip, clock.nowMs()));
    }

    Object answer(NoteRequest request) {
        return ask(asked -> asked.answer(request));
    }

    Object answer(ListRequest request) {
        return ask(asked -> asked.answer(request, clock.nowMs()));
    }

    private Object ask(Function<ControlLoop, Object> question) {
        Future<Object> answer = thread.submit(() -> question.apply(loop));
        try {
            return answer.get();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("the control thread is stopping; no more questions may come", e);
        } catch (ExecutionException e) {
            throw new IllegalStateException("the control loop failed to answer; report this fault", e.getCause());
        }
    }

    @Override
    public void close() {
        thread.shutdownNow();
    }
}
