package org.ibissaddle.backend;

import org.ibissaddle.catalog.ServerEntry;

/** One backend server as this instance sees it. Confined to one thread. */
public final class BackendServer {
    /** A report of load older than this is no longer used; reports come with every answer. */
    private static final long REPORT_AGE_MS = 1_500;
    /** Fewer tokens are read sooner than a transfer is set up; some 15 ms of reading. */
    private static final int MIN_COPY_TOKENS = 1_000;
    /** Failures in a row after which a server is left out. */
    private static final int EJECT_AFTER = 3;
    /** Time that a server is left out at first, milliseconds; doubles while it goes on failing. */
    private static final long EJECT_MS = 1_000;

    /** Weight of a new pause between events: about the last ten count. */
    private static final double GAP_SMOOTHING = 0.1;
    /** Time after which an old pause says little of the present, milliseconds. */
    private static final double GAP_MEMORY_MS = 1_500;

    private static final int MAX_EJECT_DOUBLINGS = 3;
    private static final double SMOOTHING = 0.2;
    private static final double EJECT_FAILURE_SHARE = 0.6;

    private final PrefixMemory prefixes = new PrefixMemory();
    private final Pace coldPace;
    private ServerEntry entry;
    private int inFlight;
    private int others;
    private long reportedAtMs = Long.MIN_VALUE / 2;
    private long backlogTokens;
    private long heldTokens;
    private long coldUntilMs;
    private long ejectedUntilMs;
    private int failuresInRow;
    private int ejections;
    private double failureShare;
    private boolean unproven;
    private double gapMs = -1;
    private long gapAtMs;

    BackendServer(ServerEntry entry, long nowMs) {
        this.entry = entry;
        this.coldPace = new Pace(1, nowMs);
        this.coldUntilMs = nowMs + entry.coldForMs();
    }

    /**
     * Returns what the server last published.
     *
     * @return its entry
     */
    public ServerEntry entry() {
        return entry;
    }

    /**
     * Returns the requests that this instance has at the server.
     *
     * @return requests in flight
     */
    public int inFlight() {
        return inFlight;
    }

    /**
     * Tells whether a health check must succeed before the next request.
     *
     * @return whether a connection failed in a way that a restart explains
     */
    public boolean isUnproven() {
        return unproven;
    }

    /**
     * Tells whether the server counts as cold.
     *
     * @param nowMs current time, milliseconds
     * @return whether it has just started
     */
    public boolean isCold(long nowMs) {
        return nowMs < coldUntilMs;
    }

    /**
     * Tells whether the server is left out because it kept failing.
     *
     * @param nowMs current time, milliseconds
     * @return whether it is ejected
     */
    public boolean isEjected(long nowMs) {
        return nowMs < ejectedUntilMs;
    }

    /**
     * Returns the load that the server carries, from its own reports and what was sent since.
     *
     * @param nowMs current time, milliseconds
     * @return requests running or waiting there
     */
    public int estimatedLoad(long nowMs) {
        return inFlight + (nowMs - reportedAtMs < REPORT_AGE_MS ? others : 0);
    }

    /**
     * Returns the prompt tokens that this instance sent and that the server has not read yet.
     *
     * @return tokens
     */
    public long backlogTokens() {
        return backlogTokens;
    }

    /**
     * Returns the tokens that requests of this instance hold in the server's memory.
     *
     * @return tokens, without those of shared parts
     */
    public long heldTokens() {
        return heldTokens;
    }

    /**
     * Returns the tokens of a prompt that the server would have to read.
     *
     * @param work the request
     * @return tokens
     */
    public int missingTokens(Work work) {
        return Math.max(0, work.promptTokens() - prefixes.cachedTokens(work));
    }

    /**
     * Returns the tokens of a prompt that the server keeps, or will when it has read what it was sent.
     *
     * @param work the request
     * @return tokens
     */
    public int keptTokens(Work work) {
        return prefixes.cachedTokens(work);
    }

    /**
     * Returns the tokens of a prompt that another server could copy from this one.
     *
     * @param work the request
     * @return tokens that the server has read
     */
    public int copyableTokens(Work work) {
        return prefixes.readTokens(work);
    }

    /**
     * Returns the tokens of a prompt that this server lacks and another one has.
     *
     * @param work the request
     * @param source the other server
     * @return tokens that would be copied; 0 when they are too few to be worth a transfer
     */
    public int tokensToCopy(Work work, BackendServer source) {
        int lacking = source.copyableTokens(work) - prefixes.cachedTokens(work);
        return lacking < MIN_COPY_TOKENS ? 0 : lacking;
    }

    /**
     * Notes a request that is being sent.
     *
     * @param work the request
     * @param copiedTokens tokens of its prompt that the server copies from another one
     * @param kvTokens tokens that the server's memory holds
     * @param nowMs current time, milliseconds
     * @return the request at the server, to be told how it goes
     */
    public Placed place(Work work, int copiedTokens, long kvTokens, long nowMs) {
        int held = missingTokens(work) + work.outputTokens();
        int missing = Math.max(0, missingTokens(work) - copiedTokens);
        long ahead = backlogTokens;
        inFlight++;
        backlogTokens += missing;
        heldTokens += held;
        if (!work.prefix().isEmpty()) {
            prefixes.remember(work, kvTokens);
        }
        if (isCold(nowMs)) {
            coldPace.take();
        }
        return new Placed(work, missing, held, ahead);
    }

    /**
     * Takes in what the server says of its KV cache.
     *
     * @param change a part that it keeps now, or no longer
     */
    public void cacheChanged(CacheChange change) {
        prefixes.observe(change);
    }

    /** Forgets what the server kept in its KV cache, since it has restarted. */
    public void cacheLost() {
        prefixes.clear();
    }

    /**
     * Notes the load that the server reports.
     *
     * @param report the report
     * @param nowMs current time, milliseconds
     */
    public void reported(LoadReport report, long nowMs) {
        others = Math.max(0, report.running() + report.waiting() - inFlight);
        reportedAtMs = nowMs;
    }

    /**
     * Notes how long the server says that it stays cold.
     *
     * @param forMs milliseconds, 0 when it is warm
     * @param nowMs current time, milliseconds
     */
    public void coldFor(long forMs, long nowMs) {
        coldUntilMs = nowMs + forMs;
    }

    /**
     * Notes the pause between two events of a stream.
     *
     * @param pauseMs the pause, milliseconds
     * @param nowMs current time, milliseconds
     */
    public void observedGap(long pauseMs, long nowMs) {
        gapMs = gapMs < 0 ? pauseMs : gapMs + (pauseMs - gapMs) * GAP_SMOOTHING;
        gapAtMs = nowMs;
    }

    /** Expected pause between events: what was seen lately, drifting back to that of a quiet engine. */
    double expectedGapMs(double quietMs, long nowMs) {
        if (gapMs < 0) {
            return quietMs;
        }
        double weight = Math.exp(-(nowMs - gapAtMs) / GAP_MEMORY_MS);
        return quietMs + (gapMs - quietMs) * weight;
    }

    /** Notes that the server may have restarted. */
    public void doubt() {
        unproven = true;
    }

    /**
     * Notes a successful health check.
     *
     * @param coldForMs how much longer the server is cold, milliseconds
     * @param nowMs current time, milliseconds
     */
    public void proven(long coldForMs, long nowMs) {
        unproven = false;
        coldUntilMs = Math.max(coldUntilMs, nowMs + coldForMs);
    }

    /** Notes a good answer. */
    public void succeeded() {
        failuresInRow = 0;
        ejections = 0;
        failureShare *= 1 - SMOOTHING;
    }

    /**
     * Notes a failure that is the server's.
     *
     * @param nowMs current time, milliseconds
     * @return whether the server is left out from now on
     */
    public boolean failed(long nowMs) {
        failuresInRow++;
        failureShare += (1 - failureShare) * SMOOTHING;
        if (failuresInRow < EJECT_AFTER && failureShare < EJECT_FAILURE_SHARE) {
            return false;
        }
        ejectedUntilMs = nowMs + (EJECT_MS << Math.min(ejections, MAX_EJECT_DOUBLINGS));
        ejections++;
        failuresInRow = 0;
        failureShare = 0;
        return true;
    }

    boolean isColdPaceOpen(double perSecond, long nowMs) {
        return coldPace.isOpen(perSecond, nowMs);
    }

    void update(ServerEntry next, long coldMs, long nowMs) {
        boolean restarted = next.startedMs().isPresent()
                && entry.startedMs().isPresent()
                && next.startedMs().getAsLong() != entry.startedMs().getAsLong();
        boolean moved = !next.address().equals(entry.address());
        entry = next;
        if (restarted || moved) {
            prefixes.clear();
            coldUntilMs = Math.max(coldUntilMs, nowMs + Math.max(coldMs, next.coldForMs()));
            return;
        }
        if (next.coldForMs() > 0) {
            coldUntilMs = Math.max(coldUntilMs, nowMs + next.coldForMs());
        }
    }

    /** A request at the server. */
    public final class Placed {
        private final Work work;
        private final int missing;
        private final int held;
        private final long ahead;
        private boolean read;
        private boolean ended;

        private Placed(Work work, int missing, int held, long ahead) {
            this.work = work;
            this.missing = missing;
            this.held = held;
            this.ahead = ahead;
        }

        /**
         * Notes the first piece of the answer.
         *
         * @return whether it is the first
         */
        public boolean answered() {
            if (read) {
                return false;
            }
            stopReading();
            prefixes.markRead(work);
            return true;
        }

        /** Notes the end of the request. */
        public void ended() {
            if (ended) {
                return;
            }
            ended = true;
            if (!read) {
                stopReading();
            }
            inFlight--;
            heldTokens -= held;
        }

        private void stopReading() {
            read = true;
            backlogTokens -= missing;
        }

        /**
         * Returns the tokens that the server had to read before the first piece.
         *
         * @return prompt tokens that were not cached, and those that waited before
         */
        public long tokensAhead() {
            return ahead + missing;
        }
    }
}
