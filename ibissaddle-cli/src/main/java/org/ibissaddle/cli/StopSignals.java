package org.ibissaddle.cli;

import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Method;
import java.lang.reflect.Proxy;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Waits for SIGTERM or SIGINT; a second one ends the process at once. */
final class StopSignals {
    private static final int EXIT_CODE = 143;

    private final CountDownLatch first = new CountDownLatch(1);
    private final AtomicInteger received = new AtomicInteger();

    /** Installs the handlers. Reached by reflection, since the compiler warns of the only class that has them. */
    StopSignals() {
        try {
            install("TERM", this::arrived);
            install("INT", this::arrived);
        } catch (ClassNotFoundException
                | NoSuchMethodException
                | InstantiationException
                | IllegalAccessException
                | InvocationTargetException e) {
            Runtime.getRuntime().addShutdownHook(new Thread(this::arrived));
        }
    }

    /**
     * Calls a task at each SIGHUP, which would otherwise end the process.
     *
     * @param task called on a thread of its own
     */
    void onReload(Runnable task) {
        try {
            install("HUP", task);
        } catch (ClassNotFoundException
                | NoSuchMethodException
                | InstantiationException
                | IllegalAccessException
                | InvocationTargetException e) {
            throw new IllegalStateException("SIGHUP can't be handled by this Java runtime", e);
        }
    }

    private static void install(String name, Runnable task)
            throws ClassNotFoundException, NoSuchMethodException, InstantiationException, IllegalAccessException,
                    InvocationTargetException {
        Class<?> signal = Class.forName("sun.misc.Signal");
        Class<?> handler = Class.forName("sun.misc.SignalHandler");
        Object arrival = Proxy.newProxyInstance(
                StopSignals.class.getClassLoader(), new Class<?>[] {handler}, (proxy, method, args) -> {
                    if (method.getName().equals("handle")) {
                        task.run();
                    }
                    return null;
                });
        Method handle = signal.getMethod("handle", signal, handler);
        handle.invoke(null, signal.getConstructor(String.class).newInstance(name), arrival);
    }

    private void arrived() {
        if (received.incrementAndGet() > 1) {
            Runtime.getRuntime().halt(EXIT_CODE);
        }
        first.countDown();
    }

    /** Waits for the first signal, up to a time in milliseconds; tells whether it has come. */
    boolean await(long forMs) throws InterruptedException {
        return first.await(forMs, TimeUnit.MILLISECONDS);
    }

    /** Waits for the first signal. */
    void await() throws InterruptedException {
        first.await();
    }
}
