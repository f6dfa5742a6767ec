package org.ibissaddle.standins;

import java.util.List;

/**
 * Settings of a model engine stand-in.
 *
 * @param name the server's name
 * @param port the port to listen on; 0 takes a free one
 * @param models the resident models, each as {@code model@version}
 * @param role {@code both}, {@code prefill} or {@code decode}
 * @param prefillTokensPerSecond the rate at which uncached prompt tokens are read
 * @param stepBaseMicros the time of a batch step apart from its sequences, in microseconds
 * @param stepPerSequenceMicros the time that each sequence adds to a step, in microseconds
 * @param maxBatch the most sequences in a step
 * @param maxQueued the most requests that wait for the batch
 * @param cacheBlocks the most blocks in the prefix cache
 * @param loadLagMs how old the load report is
 * @param cacheEventDelayMs how late cache events are published
 * @param cacheEventGapEvery every how many cache events one is lost; 0 for never
 * @param checkOrderTokens whether orders with an old fencing token are refused
 * @param orderDelayMs how long an order takes to apply
 * @param lostConnectionGraceMs how long a request runs on without a connection
 * @param keepFinishedMs how long a finished stream can be resumed
 * @param kvBytesPerBlock the size of an exported cache block in bytes
 * @param haltOnCrash whether a crash halts the process
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

    /** Starts from the defaults. */
    public static Builder named(String name) {
        return new Builder(name);
    }

    /** Collects the settings of an engine. */
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

        /** Sets the port. */
        public Builder port(int value) {
            port = value;
            return this;
        }

        /** Sets the resident models, each as {@code model@version}. */
        public Builder models(String... values) {
            models = List.of(values);
            return this;
        }

        /** Sets the role. */
        public Builder role(String value) {
            role = value;
            return this;
        }

        /** Sets the rate at which uncached prompt tokens are read. */
        public Builder prefillTokensPerSecond(double value) {
            prefillTokensPerSecond = value;
            return this;
        }

        /** Sets the time of a step: a base and a part for each sequence, both in microseconds. */
        public Builder stepMicros(long base, long perSequence) {
            stepBaseMicros = base;
            stepPerSequenceMicros = perSequence;
            return this;
        }

        /** Sets the most sequences in a step. */
        public Builder maxBatch(int value) {
            maxBatch = value;
            return this;
        }

        /** Sets the most waiting requests. */
        public Builder maxQueued(int value) {
            maxQueued = value;
            return this;
        }

        /** Sets the size of the prefix cache in blocks. */
        public Builder cacheBlocks(int value) {
            cacheBlocks = value;
            return this;
        }

        /** Sets how old the load report is. */
        public Builder loadLagMs(long value) {
            loadLagMs = value;
            return this;
        }

        /** Sets how late cache events are published and every how many one is lost. */
        public Builder cacheEvents(long delayMs, int gapEvery) {
            cacheEventDelayMs = delayMs;
            cacheEventGapEvery = gapEvery;
            return this;
        }

        /** Sets whether fencing tokens are checked and how long an order takes to apply. */
        public Builder orders(boolean checkTokens, long delayMs) {
            checkOrderTokens = checkTokens;
            orderDelayMs = delayMs;
            return this;
        }

        /** Sets how long a request runs on without a connection. */
        public Builder lostConnectionGraceMs(long value) {
            lostConnectionGraceMs = value;
            return this;
        }

        /** Sets how long a finished stream can be resumed. */
        public Builder keepFinishedMs(long value) {
            keepFinishedMs = value;
            return this;
        }

        /** Sets the size of an exported cache block in bytes. */
        public Builder kvBytesPerBlock(int value) {
            kvBytesPerBlock = value;
            return this;
        }

        /** Sets whether a crash halts the process. */
        public Builder haltOnCrash(boolean value) {
            haltOnCrash = value;
            return this;
        }

        /** Builds the settings. */
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
