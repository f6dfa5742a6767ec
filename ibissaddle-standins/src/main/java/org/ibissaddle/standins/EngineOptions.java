package org.ibissaddle.standins;

import java.util.List;

/**
 * Settings of a model engine stand-in.
 *
 * @param name the server name
 * @param port the port to listen on; 0 selects a free port
 * @param models the resident models, each as {@code model@version}
 * @param role {@code both}, {@code prefill} or {@code decode}
 * @param prefillTokensPerSecond the prefill rate of uncached prompt tokens
 * @param stepBaseMicros the fixed duration of a batch step in microseconds
 * @param stepPerSequenceMicros the additional duration of a batch step per sequence in microseconds
 * @param maxBatch the maximum number of sequences in a batch
 * @param maxQueued the maximum number of queued requests
 * @param cacheBlocks the capacity of the prefix cache in blocks
 * @param loadLagMs the age of the reported load
 * @param cacheEventDelayMs the delay before a cache event is published
 * @param cacheEventGapEvery omits every n-th cache event; 0 disables
 * @param checkOrderTokens whether orders with a stale fencing token are rejected
 * @param orderDelayMs the delay before an order is applied
 * @param lostConnectionGraceMs the time after which a request without a connection is cancelled
 * @param keepFinishedMs the time for which an ended stream can be resumed
 * @param kvBytesPerBlock the size of an exported cache block in bytes
 * @param haltOnCrash whether a crash terminates the process
 */
public record EngineOptions(
        String name,
        int port,
        List<String> models,
        String role,
        double prefillTokensPerSecond,
        long stepBaseMicros,
        long stepPerSequenceMicros,
        int maxBatch,
        int maxQueued,
        int cacheBlocks,
        long loadLagMs,
        long cacheEventDelayMs,
        int cacheEventGapEvery,
        boolean checkOrderTokens,
        long orderDelayMs,
        long lostConnectionGraceMs,
        long keepFinishedMs,
        int kvBytesPerBlock,
        boolean haltOnCrash) {

    /** Returns a builder with the default settings. */
    public static Builder named(String name) {
        return new Builder(name);
    }

    /** Builder for {@link EngineOptions}. */
    public static final class Builder {
        private final String name;
        private int port;
        private List<String> models = List.of();
        private String role = "both";
        private double prefillTokensPerSecond = 8_000;
        private long stepBaseMicros = 8_000;
        private long stepPerSequenceMicros = 500;
        private int maxBatch = 16;
        private int maxQueued = 256;
        private int cacheBlocks = 4_096;
        private long loadLagMs;
        private long cacheEventDelayMs;
        private int cacheEventGapEvery;
        private boolean checkOrderTokens = true;
        private long orderDelayMs;
        private long lostConnectionGraceMs = 5_000;
        private long keepFinishedMs = 30_000;
        private int kvBytesPerBlock = 1_024;
        private boolean haltOnCrash;

        private Builder(String name) {
            this.name = name;
        }

        /** Sets the port to listen on; 0 selects a free port. */
        public Builder port(int value) {
            port = value;
            return this;
        }

        /** Sets the resident models, each as {@code model@version}. */
        public Builder models(String... values) {
            models = List.of(values);
            return this;
        }

        /** Sets the role: {@code both}, {@code prefill} or {@code decode}. */
        public Builder role(String value) {
            role = value;
            return this;
        }

        /** Sets the prefill rate of uncached prompt tokens. */
        public Builder prefillTokensPerSecond(double value) {
            prefillTokensPerSecond = value;
            return this;
        }

        /** Sets the fixed and the per-sequence duration of a batch step, both in microseconds. */
        public Builder stepMicros(long base, long perSequence) {
            stepBaseMicros = base;
            stepPerSequenceMicros = perSequence;
            return this;
        }

        /** Sets the maximum number of sequences in a batch. */
        public Builder maxBatch(int value) {
            maxBatch = value;
            return this;
        }

        /** Sets the maximum number of queued requests. */
        public Builder maxQueued(int value) {
            maxQueued = value;
            return this;
        }

        /** Sets the capacity of the prefix cache in blocks. */
        public Builder cacheBlocks(int value) {
            cacheBlocks = value;
            return this;
        }

        /** Sets the age of the reported load. */
        public Builder loadLagMs(long value) {
            loadLagMs = value;
            return this;
        }

        /**
         * Sets the publication delay of cache events and omits every {@code gapEvery}-th event; 0 disables omission.
         */
        public Builder cacheEvents(long delayMs, int gapEvery) {
            cacheEventDelayMs = delayMs;
            cacheEventGapEvery = gapEvery;
            return this;
        }

        /** Sets whether fencing tokens are checked and the delay before an order is applied. */
        public Builder orders(boolean checkTokens, long delayMs) {
            checkOrderTokens = checkTokens;
            orderDelayMs = delayMs;
            return this;
        }

        /** Sets the time after which a request without a connection is cancelled. */
        public Builder lostConnectionGraceMs(long value) {
            lostConnectionGraceMs = value;
            return this;
        }

        /** Sets the time for which an ended stream can be resumed. */
        public Builder keepFinishedMs(long value) {
            keepFinishedMs = value;
            return this;
        }

        /** Sets the size of an exported cache block in bytes. */
        public Builder kvBytesPerBlock(int value) {
            kvBytesPerBlock = value;
            return this;
        }

        /** Sets whether a crash terminates the process. */
        public Builder haltOnCrash(boolean value) {
            haltOnCrash = value;
            return this;
        }

        /** Returns the settings. */
        public EngineOptions build() {
            return new EngineOptions(
                    name,
                    port,
                    models,
                    role,
                    prefillTokensPerSecond,
                    stepBaseMicros,
                    stepPerSequenceMicros,
                    maxBatch,
                    maxQueued,
                    cacheBlocks,
                    loadLagMs,
                    cacheEventDelayMs,
                    cacheEventGapEvery,
                    checkOrderTokens,
                    orderDelayMs,
                    lostConnectionGraceMs,
                    keepFinishedMs,
                    kvBytesPerBlock,
                    haltOnCrash);
        }
    }
}
