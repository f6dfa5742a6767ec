package org.ibissaddle.standins.internal.platform;

import io.netty.channel.EventLoop;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.ibissaddle.standins.internal.http.Exchange;

/** Sends model weights, with all downloads together below a rate. */
public final class WeightStore {
    private static final int PIECE_BYTES = 16 * 1024;
    private static final double NANOS_PER_SECOND = 1e9;

    private final Map<String, Long> sizes = new HashMap<>();
    private final Map<String, Integer> downloads = new TreeMap<>();
    private final EventLoop loop;
    private final LongSupplier bytesPerSecond;
    private long freeAt = System.nanoTime();

    /** Creates an empty store. */
    public WeightStore(EventLoop loop, LongSupplier bytesPerSecond) {
        this.loop = loop;
        this.bytesPerSecond = bytesPerSecond;
    }

    /** Publishes the weights of a model version, named {@code model/version}. */
    public void publish(String key, long bytes) {
        sizes.put(key, bytes);
    }

    /** The size of the weights in bytes. */
    public Optional<Long> size(String key) {
        return Optional.ofNullable(sizes.get(key));
    }

    /** How often each model version was downloaded. */
    public Map<String, Integer> downloads() {
        return Map.copyOf(downloads);
    }

    /** Sends the weights. */
    public void send(String key, long bytes, Exchange exchange) {
        downloads.merge(key, 1, Integer::sum);
        exchange.startStream("application/octet-stream", Map.of("X-Weight-Bytes", Long.toString(bytes)));
        sendRest(key, bytes, exchange);
    }

    private void continueWhenWritable(String key, long left, Exchange exchange) {
        if (exchange.isWritable()) {
            sendRest(key, left, exchange);
            return;
        }
        exchange.onWritable(() -> {
            exchange.onWritable(() -> {});
            sendRest(key, left, exchange);
        });
    }

    private void sendRest(String key, long left, Exchange exchange) {
        if (!exchange.isOpen()) {
            return;
        }
        if (left == 0) {
            exchange.endStream();
            return;
        }
        int size = (int) Math.min(left, PIECE_BYTES);
        var unused = loop.schedule(
                () -> {
                    exchange.write(piece(key, size));
                    continueWhenWritable(key, left - size, exchange);
                },
                reserve(size),
                TimeUnit.NANOSECONDS);
    }

    private long reserve(int bytes) {
        long now = System.nanoTime();
        freeAt = Math.max(freeAt, now) + (long) (bytes * NANOS_PER_SECOND / bytesPerSecond.getAsLong());
        return freeAt - now;
    }

    private static byte[] piece(String key, int size) {
        byte[] piece = new byte[size];
        Arrays.fill(piece, (byte) key.hashCode());
        return piece;
    }
}
