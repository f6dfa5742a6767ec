package org.ibissaddle.timeline;

import java.util.Optional;

/**
 * Stamp of a hybrid logical clock. If one event may have caused another, its stamp is the smaller one.
 *
 * @param physicalMs greatest wall clock reading known where the event happened, epoch milliseconds
 * @param logical counter that orders events of the same millisecond
 */
public record Stamp(long physicalMs, int logical) implements Comparable<Stamp> {
    /** The stamp before all events. */
    public static final Stamp ZERO = new Stamp(0, 0);

    /** How far a received stamp may lie ahead of the local clock before it is ignored, milliseconds. */
    public static final long MAX_AHEAD_MS = 60_000;

    private static final int MAX_TEXT = 40;

    /** Checks that both parts are at least 0. */
    public Stamp {
        if (physicalMs < 0 || logical < 0) {
            throw new IllegalArgumentException("a stamp has no negative part: " + physicalMs + "." + logical);
        }
    }

    /**
     * Returns the stamp of a local or sending event.
     *
     * @param nowMs local clock, epoch milliseconds
     * @return a stamp above this one
     */
    public Stamp next(long nowMs) {
        if (nowMs > physicalMs) {
            return new Stamp(nowMs, 0);
        }
        return logical == Integer.MAX_VALUE ? new Stamp(physicalMs + 1, 0) : new Stamp(physicalMs, logical + 1);
    }

    /**
     * Returns the stamp of the receipt of a message.
     *
     * @param remote stamp that came with the message
     * @param nowMs local clock, epoch milliseconds
     * @return a stamp above this one, and above the remote one unless that lies too far ahead
     */
    public Stamp receive(Stamp remote, long nowMs) {
        boolean usable = remote.physicalMs - MAX_AHEAD_MS <= nowMs;
        return usable && remote.compareTo(this) > 0 ? remote.next(nowMs) : next(nowMs);
    }

    /**
     * Reads the form written by {@link #toString()}.
     *
     * @param text text from a peer
     * @return the stamp, empty when the text is not one
     */
    public static Optional<Stamp> parse(String text) {
        int dot = text.indexOf('.');
        if (dot <= 0 || text.length() > MAX_TEXT) {
            return Optional.empty();
        }
        try {
            long physicalMs = Long.parseLong(text, 0, dot, Character.MAX_RADIX);
            int logical = Integer.parseInt(text, dot + 1, text.length(), Character.MAX_RADIX);
            return physicalMs < 0 || logical < 0 ? Optional.empty() : Optional.of(new Stamp(physicalMs, logical));
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }

    @Override
    public int compareTo(Stamp other) {
        int order = Long.compare(physicalMs, other.physicalMs);
        return order != 0 ? order : Integer.compare(logical, other.logical);
    }

    @Override
    public String toString() {
        return Long.toString(physicalMs, Character.MAX_RADIX) + "." + Integer.toString(logical, Character.MAX_RADIX);
    }
}
