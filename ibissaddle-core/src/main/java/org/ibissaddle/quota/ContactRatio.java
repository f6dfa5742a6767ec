package org.ibissaddle.quota;

/** Moving ratio of the messages to a region that were answered. */
final class ContactRatio {
    /** Time constant of the average, milliseconds: four rounds of messages between instances. */
    private static final double DECAY_MS = 2_000;
    /** Weight below which there is no recent evidence. */
    private static final double MIN_WEIGHT = 0.2;

    private double answered;
    private double sent;
    private long updatedMs;

    void record(boolean wasAnswered, long nowMs) {
        double factor = Math.exp((updatedMs - nowMs) / DECAY_MS);
        answered = answered * factor + (wasAnswered ? 1 : 0);
        sent = sent * factor + 1;
        updatedMs = nowMs;
    }

    double value(long nowMs) {
        double weight = sent * Math.exp((updatedMs - nowMs) / DECAY_MS);
        return weight < MIN_WEIGHT ? 1 : answered / sent;
    }
}
