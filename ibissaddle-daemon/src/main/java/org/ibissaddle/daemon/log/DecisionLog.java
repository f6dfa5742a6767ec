package org.ibissaddle.daemon.log;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Writes one line of key=value pairs for each decision, without ever holding up the caller: lines wait in a bounded
 * queue, ordinary ones are dropped while it is half full, others only when it is full, and what was dropped is counted.
 */
public final class DecisionLog implements AutoCloseable {
    /** Lines that may wait for a slow reader of the output. */
    private static final int QUEUED_LINES = 4_096;

    private final BlockingQueue<String> lines = new ArrayBlockingQueue<>(QUEUED_LINES);
    private final AtomicLong dropped = new AtomicLong();
    private final String instance;
    private final OutputStream out;
    private final Thread writer;
    private volatile boolean closed;

    /**
     * Starts the log.
     *
     * @param instance name that every line carries
     * @param out where the lines go
     */
    public DecisionLog(String instance, OutputStream out) {
        this.instance = instance;
        this.out = out;
        this.writer = new Thread(this::write, "decision-log");
        writer.setDaemon(true);
        writer.start();
    }

    /**
     * Logs an ordinary decision, such as a request that was served.
     *
     * @param event name of the event, lower case with hyphens
     * @param pairs keys and values in turn
     */
    public void routine(String event, Object... pairs) {
        if (lines.size() > QUEUED_LINES / 2) {
            dropped.incrementAndGet();
            return;
        }
        offer("info", event, pairs);
    }

    /**
     * Logs a failure or a change of belief.
     *
     * @param event name of the event, lower case with hyphens
     * @param pairs keys and values in turn
     */
    public void notable(String event, Object... pairs) {
        offer("notice", event, pairs);
    }

    /**
     * Returns how many lines were dropped.
     *
     * @return lines since the start
     */
    public long dropped() {
        return dropped.get();
    }

    /** Writes what waits and ends. */
    @Override
    public void close() {
        closed = true;
        writer.interrupt();
        try {
            writer.join(CLOSE_WAIT_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Longest wait for a reader when the process ends, milliseconds. */
    private static final long CLOSE_WAIT_MS = 200;

    private void offer(String level, String event, Object... pairs) {
        StringBuilder line = new StringBuilder(160);
        line.append("at=").append(System.currentTimeMillis());
        line.append(" level=").append(level);
        line.append(" event=").append(event);
        line.append(" instance=").append(instance);
        Values.append(line, pairs);
        if (!lines.offer(line.append('\n').toString())) {
            dropped.incrementAndGet();
        }
    }

    private void write() {
        try {
            while (!closed) {
                writeBatch(lines.take());
            }
        } catch (InterruptedException e) {
            writeRest();
        } catch (IOException e) {
            // Nobody reads the output any more, and there is no other place to say so.
            closed = true;
        }
    }

    private void writeBatch(String first) throws IOException {
        StringBuilder batch = new StringBuilder(first);
        for (String next = lines.poll(); next != null; next = lines.poll()) {
            batch.append(next);
        }
        out.write(batch.toString().getBytes(StandardCharsets.UTF_8));
        out.flush();
    }

    private void writeRest() {
        String first = lines.poll();
        if (first == null) {
            return;
        }
        try {
            writeBatch(first);
        } catch (IOException e) {
            dropped.incrementAndGet();
        }
    }
}
