package org.ibissaddle.cli;

import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Method;
import java.lang.reflect.Proxy;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Waits for SIGTERM or SIGINT. Further signals are ignored, unless a task is set for them. */
final class ShutdownSignals {
    private static final int SIGTERM_EXIT_CODE = 143;

    private final CountDownLatch firstSignal = new CountDownLatch(1);
    private final AtomicInteger receivedCount = new AtomicInteger();
    private volatile Runnable repeatTask = () -> {};

    /**
     * Installs the signal handlers. Uses reflection because the compiler warns about direct use of
     * {@code sun.misc.Signal}, the only class that provides them. Falls back to a shutdown hook.
     */
    ShutdownSignals() {
        try {
            install("TERM", this::handleStop);
            install("INT", this::handleStop);
        } catch (ClassNotFoundException
                | NoSuchMethodException
                | InstantiationException
                | IllegalAccessException
                | InvocationTargetException e) {
            Runtime.getRuntime().addShutdownHook(new Thread(this::handleStop));
        }
    }

    /**
     * Runs a task on each SIGHUP, which would otherwise terminate the process.
     *
     * @param task task, run on a separate thread
     */
    void onReload(Runnable task) {
        try {
            install("HUP", task);
        } catch (ClassNotFoundException
                | NoSuchMethodException
                | InstantiationException
                | IllegalAccessException
                | InvocationTargetException e) {
            throw new IllegalStateException("cannot install a SIGHUP handler on this Java runtime", e);
        }
    }

    private static void install(String name, Runnable task)
            throws ClassNotFoundException, NoSuchMethodException, InstantiationException, IllegalAccessException,
                    InvocationTargetException {
        Class<?> signal = Class.forName("sun.misc.Signal");
        Class<?> handler = Class.forName("sun.misc.SignalHandler");
        Object signalHandler = Proxy.newProxyInstance(
                ShutdownSignals.class.getClassLoader(), new Class<?>[] {handler}, (proxy, method, args) -> {
                    if (method.getName().equals("handle")) {
                        task.run();
                    }
                    return null;
                });
        Method registerHandler = signal.getMethod("handle", signal, handler);
        registerHandler.invoke(null, signal.getConstructor(String.class).newInstance(name), signalHandler);
    }

    private void handleStop() {
        if (receivedCount.incrementAndGet() > 1) {
            repeatTask.run();
        }
        firstSignal.countDown();
    }

    /**
     * Runs a task on each signal after the first.
     *
     * @param task task, run on a separate thread
     */
    void onRepeat(Runnable task) {
        repeatTask = task;
    }

    /** Terminates the process immediately, with all requests in progress. */
    static void terminate() {
        Runtime.getRuntime().halt(SIGTERM_EXIT_CODE);
    }

    /** Waits for the first signal for up to the given milliseconds; returns whether it was received. */
    boolean await(long timeoutMs) throws InterruptedException {
        return firstSignal.await(timeoutMs, TimeUnit.MILLISECONDS);
    }

    /** Waits for the first signal. */
    void await() throws InterruptedException {
        firstSignal.await();
    }
}
