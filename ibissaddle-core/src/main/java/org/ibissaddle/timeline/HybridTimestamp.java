package org.ibissaddle.timeline;

import java.util.Optional;

/**
 * Timestamp of a hybrid logical clock. If one event may have caused another, its timestamp is smaller.
 *
 * @param physicalMs greatest wall clock reading known to the process that recorded the event, epoch milliseconds
 * @param logical counter that orders events of the same millisecond
 */
public record HybridTimestamp(long physicalMs, int logical) implements Comparable<HybridTimestamp> {
    /** The timestamp before all events. */
    public static final HybridTimestamp ZERO = new HybridTimestamp(0, 0);

    /** Received timestamps that are further ahead of the local clock than this are ignored, milliseconds. */
    public static final long MAX_CLOCK_SKEW_MS = 60_000;

    private static final int MAX_TEXT_LENGTH = 40;

    /** Validates that both parts are at least 0. */
    public HybridTimestamp {
        if (physicalMs < 0 || logical < 0) {
            throw new IllegalArgumentException("timestamp parts must not be negative: " + physicalMs + "." + logical);
        }
    }

    /**
     * Returns the timestamp of a local event or of sending a message.
     *
     * @param nowMs local clock, epoch milliseconds
     * @return a timestamp greater than this one
     */
    public HybridTimestamp next(long nowMs) {
        if (nowMs > physicalMs) {
            return new HybridTimestamp(nowMs, 0);
        }
        return logical == Integer.MAX_VALUE
                ? new HybridTimestamp(physicalMs + 1, 0)
                : new HybridTimestamp(physicalMs, logical + 1);
    }

    /**
     * Returns the timestamp of receiving a message.
     *
     * @param remote timestamp in the message
     * @param nowMs local clock, epoch milliseconds
     * @return a timestamp greater than this one, and greater than the remote one unless that is too far ahead
     */
    public HybridTimestamp receive(HybridTimestamp remote, long nowMs) {
        boolean withinMaxSkew = remote.physicalMs - MAX_CLOCK_SKEW_MS <= nowMs;
        return withinMaxSkew && remote.compareTo(this) > 0 ? remote.next(nowMs) : next(nowMs);
    }

    /**
     * Parses the format produced by {@link #toString()}.
     *
     * @param text text from a peer
     * @return the timestamp, empty if the text is invalid
     */
    public static Optional<HybridTimestamp> parse(String text) {
        int dot = text.indexOf('.');
        if (dot <= 0 || text.length() > MAX_TEXT_LENGTH) {
            return Optional.empty();
        }
        try {
            long physicalMs = Long.parseLong(text, 0, dot, Character.MAX_RADIX);
            int logical = Integer.parseInt(text, dot + 1, text.length(), Character.MAX_RADIX);
            return physicalMs < 0 || logical < 0
                    ? Optional.empty()
                    : Optional.of(new HybridTimestamp(physicalMs, logical));
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }

    @Override
    public int compareTo(HybridTimestamp other) {
        int order = Long.compare(physicalMs, other.physicalMs);
        return order != 0 ? order : Integer.compare(logical, other.logical);
    }

    @Override
    public String toString() {
        return Long.toString(physicalMs, Character.MAX_RADIX) + "." + Integer.toString(logical, Character.MAX_RADIX);
    }
}
