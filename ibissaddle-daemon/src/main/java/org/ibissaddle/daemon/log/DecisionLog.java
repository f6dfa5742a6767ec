package org.ibissaddle.daemon.log;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Writes one line of key=value pairs for each decision without blocking the caller. A separate thread writes from a
 * bounded queue: routine events are dropped when it is more than half full, notable ones only when it is full. Dropped
 * events are counted.
 */
public final class DecisionLog implements AutoCloseable {
    /** Maximum number of lines that wait to be written, for example when the reader of the output is slow. */
    private static final int QUEUE_CAPACITY = 4_096;

    private final BlockingQueue<String> queue = new ArrayBlockingQueue<>(QUEUE_CAPACITY);
    private final AtomicLong droppedEvents = new AtomicLong();
    private final String instance;
    private final OutputStream out;
    private final Thread writer;
    private volatile boolean closed;

    /**
     * Creates the log and starts its writer thread.
     *
     * @param instance instance name that is added to every line
     * @param out the stream to write to
     */
    public DecisionLog(String instance, OutputStream out) {
        this.instance = instance;
        this.out = out;
        this.writer = new Thread(this::writeLines, "decision-log");
        writer.setDaemon(true);
        writer.start();
    }

    /**
     * Logs a routine event, such as a completed request, at level {@code info}.
     *
     * @param event name of the event in lower case with hyphens
     * @param pairs alternating keys and values
     */
    public void info(String event, Object... pairs) {
        if (queue.size() > QUEUE_CAPACITY / 2) {
            droppedEvents.incrementAndGet();
            return;
        }
        enqueue("info", event, pairs);
    }

    /**
     * Logs a failure or a change of the assumed state of a server or instance, at level {@code notice}.
     *
     * @param event name of the event in lower case with hyphens
     * @param pairs alternating keys and values
     */
    public void notice(String event, Object... pairs) {
        enqueue("notice", event, pairs);
    }

    /**
     * Returns the number of dropped events.
     *
     * @return the number since the log was created
     */
    public long droppedEvents() {
        return droppedEvents.get();
    }

    /** Writes the queued lines and stops the writer thread, for which it waits a limited time. */
    @Override
    public void close() {
        closed = true;
        writer.interrupt();
        try {
            writer.join(CLOSE_TIMEOUT_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Maximum wait for the writer thread when the log is closed, in milliseconds. */
    private static final long CLOSE_TIMEOUT_MS = 200;

    private void enqueue(String level, String event, Object... pairs) {
        StringBuilder line = new StringBuilder(160);
        line.append("at=").append(System.currentTimeMillis());
        line.append(" level=").append(level);
        line.append(" event=").append(event);
        line.append(" instance=").append(instance);
        KeyValuePairs.append(line, pairs);
        if (!queue.offer(line.append('\n').toString())) {
            droppedEvents.incrementAndGet();
        }
    }

    private void writeLines() {
        try {
            while (!closed) {
                writeBatch(queue.take());
            }
        } catch (InterruptedException e) {
            writeRemaining();
        } catch (IOException e) {
            // The output is closed, and there is no other place to report it.
            closed = true;
        }
    }

    private void writeBatch(String first) throws IOException {
        StringBuilder batch = new StringBuilder(first);
        for (String next = queue.poll(); next != null; next = queue.poll()) {
            batch.append(next);
        }
        out.write(batch.toString().getBytes(StandardCharsets.UTF_8));
        out.flush();
    }

    private void writeRemaining() {
        String first = queue.poll();
        if (first == null) {
            return;
        }
        try {
            writeBatch(first);
        } catch (IOException e) {
            droppedEvents.incrementAndGet();
        }
    }
}
