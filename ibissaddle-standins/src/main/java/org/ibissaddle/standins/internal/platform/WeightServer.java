package org.ibissaddle.standins.internal.platform;

import io.netty.channel.EventLoop;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.ibissaddle.standins.internal.http.HttpExchange;

/** Serves model weights, with a rate limit shared by all downloads. */
public final class WeightServer {
    private static final int CHUNK_BYTES = 16 * 1024;
    private static final double NANOS_PER_SECOND = 1e9;

    private final Map<String, Long> sizes = new HashMap<>();
    private final Map<String, Integer> downloads = new TreeMap<>();
    private final EventLoop loop;
    private final LongSupplier bytesPerSecond;
    private long nextFreeNanos = System.nanoTime();

    /** Creates an empty store; {@code bytesPerSecond} supplies the current rate limit. */
    public WeightServer(EventLoop loop, LongSupplier bytesPerSecond) {
        this.loop = loop;
        this.bytesPerSecond = bytesPerSecond;
    }

    /** Publishes the weights of a model version, named {@code model/version}. */
    public void publish(String key, long bytes) {
        sizes.put(key, bytes);
    }

    /** Returns the size of the weights in bytes. */
    public Optional<Long> size(String key) {
        return Optional.ofNullable(sizes.get(key));
    }

    /** Returns the number of downloads of each {@code model/version}. */
    public Map<String, Integer> downloads() {
        return Map.copyOf(downloads);
    }

    /** Streams weights of the given size to a caller. */
    public void send(String key, long bytes, HttpExchange exchange) {
        downloads.merge(key, 1, Integer::sum);
        exchange.startStream("application/octet-stream", Map.of("X-Weight-Bytes", Long.toString(bytes)));
        sendRemaining(key, bytes, exchange);
    }

    private void continueWhenWritable(String key, long remaining, HttpExchange exchange) {
        if (exchange.isWritable()) {
            sendRemaining(key, remaining, exchange);
            return;
        }
        exchange.onWritable(() -> {
            exchange.onWritable(() -> {});
            sendRemaining(key, remaining, exchange);
        });
    }

    private void sendRemaining(String key, long remaining, HttpExchange exchange) {
        if (!exchange.isOpen()) {
            return;
        }
        if (remaining == 0) {
            exchange.endStream();
            return;
        }
        int size = (int) Math.min(remaining, CHUNK_BYTES);
        var unused = loop.schedule(
                () -> {
                    exchange.write(chunk(key, size));
                    continueWhenWritable(key, remaining - size, exchange);
                },
                reserveNanos(size),
                TimeUnit.NANOSECONDS);
    }

    private long reserveNanos(int bytes) {
        long now = System.nanoTime();
        nextFreeNanos = Math.max(nextFreeNanos, now) + (long) (bytes * NANOS_PER_SECOND / bytesPerSecond.getAsLong());
        return nextFreeNanos - now;
    }

    private static byte[] chunk(String key, int size) {
        byte[] chunk = new byte[size];
        Arrays.fill(chunk, (byte) key.hashCode());
        return chunk;
    }
}
