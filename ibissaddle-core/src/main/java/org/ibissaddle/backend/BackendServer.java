package org.ibissaddle.backend;

import java.util.OptionalInt;
import org.ibissaddle.catalog.ServerEntry;

/** State that this instance keeps about one backend server. Not thread-safe: confined to one thread. */
public final class BackendServer {
    /** Maximum time for which a server can request not to receive requests, milliseconds. */
    public static final long MAX_HOLD_OFF_MS = 600_000;

    /** Load reports older than this are ignored. Every response carries a new report. */
    private static final long MAX_REPORT_AGE_MS = 1_500;
    /** Below this size, prefill (about 15 ms) is faster than setting up a KV cache transfer. */
    private static final int MIN_COPY_TOKENS = 1_000;
    /** Number of consecutive failures after which the server is ejected. */
    private static final int CONSECUTIVE_FAILURES_TO_EJECT = 3;
    /**
     * Duration of the first ejection in milliseconds. Doubles with each further ejection while the server keeps
     * failing.
     */
    private static final long BASE_EJECTION_MS = 1_000;

    /** Weight of a new sample in the moving average of event gaps, which covers about the last ten samples. */
    private static final double EVENT_GAP_SMOOTHING = 0.1;
    /** Time constant in milliseconds with which the observed event gap decays to the idle gap. */
    private static final double EVENT_GAP_DECAY_MS = 1_500;

    private static final int MAX_EJECTION_DOUBLINGS = 3;
    private static final double FAILURE_RATE_SMOOTHING = 0.2;
    private static final double FAILURE_RATE_TO_EJECT = 0.6;

    private final PrefixCacheEstimate prefixCache = new PrefixCacheEstimate();
    private final ServerSpeed speed = new ServerSpeed();
    private final TokenBucket coldRequestLimiter;
    private ServerEntry entry;
    private int inFlight;
    private int otherInstancesRequests;
    private int otherInstancesWaiting;
    private int unprefilled;
    private long reportedAtMs = ServerSpeed.NEVER;
    private long backlogTokens;
    private long reservedKvTokens;
    private long coldUntilMs;
    private long ejectedUntilMs;
    private long heldOffUntilMs;
    private int consecutiveFailures;
    private int ejections;
    private double failureRate;
    private boolean healthCheckPending;
    private double eventGapMs = -1;
    private long eventGapObservedAtMs;
    private long progressAtMs;

    BackendServer(ServerEntry entry, long nowMs) {
        this.entry = entry;
        this.coldRequestLimiter = new TokenBucket(1, nowMs);
        this.coldUntilMs = nowMs + entry.coldForMs();
    }

    /**
     * Returns the entry that the server published last.
     *
     * @return the catalog entry
     */
    public ServerEntry entry() {
        return entry;
    }

    /**
     * Returns the number of requests that this instance has in flight at the server.
     *
     * @return number of requests in flight
     */
    public int inFlight() {
        return inFlight;
    }

    /**
     * Returns whether a health check must succeed before the next request is sent.
     *
     * @return true after a connection failure that indicates a possible restart
     */
    public boolean isHealthCheckPending() {
        return healthCheckPending;
    }

    /**
     * Returns whether the server is in its cold-start period.
     *
     * @param nowMs current time in milliseconds
     * @return true if the server is cold
     */
    public boolean isCold(long nowMs) {
        return nowMs < coldUntilMs;
    }

    /**
     * Returns the remaining cold-start period of the server.
     *
     * @param nowMs current time in milliseconds
     * @return remaining time in milliseconds, 0 if the server is warm
     */
    public long coldRemainingMs(long nowMs) {
        return Math.max(0, coldUntilMs - nowMs);
    }

    /**
     * Returns whether the server is ejected because of repeated failures.
     *
     * @param nowMs current time in milliseconds
     * @return true if the server is ejected
     */
    public boolean isEjected(long nowMs) {
        return nowMs < ejectedUntilMs;
    }

    /**
     * Returns the end of the period in which the server has requested not to receive requests.
     *
     * @return time in milliseconds; in the past if there is no such period
     */
    public long heldOffUntilMs() {
        return heldOffUntilMs;
    }

    /**
     * Returns whether the server has requested not to receive requests now, health checks included.
     *
     * @param nowMs current time in milliseconds
     * @return true until the requested period has ended
     */
    public boolean isHeldOff(long nowMs) {
        return nowMs < heldOffUntilMs;
    }

    /**
     * Records that the server has requested not to receive requests for a while. Never shortens an earlier period.
     *
     * @param forMs requested period in milliseconds; limited to {@link #MAX_HOLD_OFF_MS}
     * @param nowMs current time in milliseconds
     */
    public void holdOff(long forMs, long nowMs) {
        heldOffUntilMs = Math.max(heldOffUntilMs, nowMs + Math.min(forMs, MAX_HOLD_OFF_MS));
    }

    /**
     * Estimates the load of the server from its latest load report and the requests in flight from this instance.
     *
     * @param nowMs current time in milliseconds
     * @return number of requests running or queued at the server
     */
    public int estimatedLoad(long nowMs) {
        return inFlight + (nowMs - reportedAtMs < MAX_REPORT_AGE_MS ? otherInstancesRequests : 0);
    }

    /**
     * Returns the number of requests of other instances at the server.
     *
     * @param nowMs current time in milliseconds
     * @return number of requests running or queued, empty without a recent load report
     */
    OptionalInt otherInstancesRequests(long nowMs) {
        return nowMs - reportedAtMs < MAX_REPORT_AGE_MS ? OptionalInt.of(otherInstancesRequests) : OptionalInt.empty();
    }

    /** Estimates the tokens of other instances' requests that wait at the server, each of average length. */
    long othersWaitingTokens(EngineSpeedEstimate service, long nowMs) {
        return Math.round(service.uncachedTokens() * otherInstancesWaiting(nowMs));
    }

    private int otherInstancesWaiting(long nowMs) {
        return nowMs - reportedAtMs < MAX_REPORT_AGE_MS ? otherInstancesWaiting : 0;
    }

    /**
     * Estimates the tokens of other instances' requests that the server still has to prefill: all of the waiting
     * requests and a fraction of the running ones, each of average length.
     *
     * @param others number of their requests at the server
     */
    double othersPrefillTokens(double others, EngineSpeedEstimate service, int tokensPerEvent, long nowMs) {
        double waiting = Math.min(others, otherInstancesWaiting(nowMs));
        return service.uncachedTokens() * (waiting + (others - waiting) * service.prefillFraction(tokensPerEvent));
    }

    /**
     * Returns the age of the latest load report.
     *
     * @param nowMs current time in milliseconds
     * @return age in milliseconds, -1 if the server has never reported its load
     */
    public long loadReportAgeMs(long nowMs) {
        return age(reportedAtMs, nowMs);
    }

    /**
     * Returns the age of the latest figure for the current speed of the server's machine.
     *
     * @param nowMs current time in milliseconds
     * @return age in milliseconds, -1 if the server has never reported one
     */
    public long speedReportAgeMs(long nowMs) {
        return age(speed.reportedAtMs(), nowMs);
    }

    /**
     * Returns the age of the latest time that this instance measured at the server: to a first event, or between
     * events.
     *
     * @param nowMs current time in milliseconds
     * @return age in milliseconds, -1 if nothing was measured
     */
    public long speedObservationAgeMs(long nowMs) {
        return age(speed.observedAtMs(), nowMs);
    }

    private static long age(long atMs, long nowMs) {
        return atMs == ServerSpeed.NEVER ? -1 : nowMs - atMs;
    }

    /**
     * Returns how long the requests in flight at the server have made no progress.
     *
     * @param nowMs current time in milliseconds
     * @return time in milliseconds since the last part of a response, or since the first request was sent to the idle
     *     server; 0 without requests in flight
     */
    public long stalledMs(long nowMs) {
        return inFlight == 0 ? 0 : nowMs - progressAtMs;
    }

    ServerSpeed speed() {
        return speed;
    }

    /** Records that a part of a response has arrived. Reports of the server are no progress. */
    void recordProgress(long nowMs) {
        progressAtMs = nowMs;
    }

    /**
     * Returns the number of prompt tokens sent by this instance for which prefill has not completed.
     *
     * @return number of tokens
     */
    public long backlogTokens() {
        return backlogTokens;
    }

    /**
     * Returns the number of KV cache tokens reserved by requests of this instance.
     *
     * @return number of tokens, excluding shared parts that were already cached
     */
    public long reservedKvTokens() {
        return reservedKvTokens;
    }

    /**
     * Returns the number of prompt tokens that the server does not have in its KV cache.
     *
     * @param demand the request
     * @return number of tokens to prefill
     */
    public int uncachedTokens(RequestDemand demand) {
        return Math.max(0, demand.promptTokens() - prefixCache.cachedTokens(demand));
    }

    /**
     * Returns the number of prompt tokens that are in the KV cache of the server, or will be once the prompts already
     * sent to it are prefilled.
     *
     * @param demand the request
     * @return number of tokens
     */
    public int cachedTokens(RequestDemand demand) {
        return prefixCache.cachedTokens(demand);
    }

    /**
     * Returns the number of prompt tokens that another server could copy from this one.
     *
     * @param demand the request
     * @return number of tokens that are already prefilled
     */
    public int copyableTokens(RequestDemand demand) {
        return prefixCache.prefilledTokens(demand);
    }

    /**
     * Returns the number of prompt tokens that this server would copy from another server.
     *
     * @param demand the request
     * @param source the server to copy from
     * @return number of tokens to copy; 0 if they are too few to justify a transfer
     */
    public int tokensToCopy(RequestDemand demand, BackendServer source) {
        int lackingTokens = source.copyableTokens(demand) - prefixCache.cachedTokens(demand);
        return lackingTokens < MIN_COPY_TOKENS ? 0 : lackingTokens;
    }

    /**
     * Records a request that is being sent to the server.
     *
     * @param demand the request
     * @param copiedTokens number of prompt tokens that the server copies from another server
     * @param kvTokens capacity of the server's KV cache in tokens
     * @param nowMs current time in milliseconds
     * @return a handle through which the progress of the request is recorded
     */
    public RequestHandle requestSent(RequestDemand demand, int copiedTokens, long kvTokens, long nowMs) {
        int reservedTokens = uncachedTokens(demand) + demand.outputTokens();
        int prefillTokens = Math.max(0, uncachedTokens(demand) - copiedTokens);
        long backlogBefore = backlogTokens;
        if (inFlight == 0) {
            progressAtMs = nowMs;
        }
        inFlight++;
        unprefilled++;
        backlogTokens += prefillTokens;
        reservedKvTokens += reservedTokens;
        if (!demand.promptParts().isEmpty()) {
            prefixCache.recordSent(demand, kvTokens);
        }
        if (isCold(nowMs)) {
            coldRequestLimiter.consume();
        }
        return new RequestHandle(demand, prefillTokens, reservedTokens, backlogBefore);
    }

    /**
     * Applies a KV cache event of the server.
     *
     * @param change the prompt part that was cached or evicted
     */
    public void applyCacheEvent(KvCacheEvent change) {
        prefixCache.applyReport(change);
    }

    /** Clears the estimated KV cache contents after a restart of the server. */
    public void clearCacheEstimate() {
        prefixCache.clear();
    }

    /**
     * Records a load report of the server.
     *
     * @param report the load report
     * @param nowMs current time in milliseconds
     */
    public void updateLoad(LoadReport report, long nowMs) {
        otherInstancesRequests = Math.max(0, report.running() + report.waiting() - inFlight);
        otherInstancesWaiting = Math.min(otherInstancesRequests, Math.max(0, report.waiting() - unprefilled));
        reportedAtMs = nowMs;
        if (report.slowdownPercent().isPresent()) {
            speed.report(report.slowdownPercent().getAsInt(), nowMs);
        }
    }

    /**
     * Records the time between two events of a stream.
     *
     * @param gapMs time between the events in milliseconds
     * @param nowMs current time in milliseconds
     */
    public void recordEventGap(long gapMs, long nowMs) {
        eventGapMs = eventGapMs < 0 ? gapMs : eventGapMs + (gapMs - eventGapMs) * EVENT_GAP_SMOOTHING;
        eventGapObservedAtMs = nowMs;
        progressAtMs = nowMs;
    }

    /** Returns the expected time between events: the recent average, which decays to the gap of an idle engine. */
    double expectedEventGapMs(double idleGapMs, long nowMs) {
        if (eventGapMs < 0) {
            return idleGapMs;
        }
        double weight = Math.exp(-(nowMs - eventGapObservedAtMs) / EVENT_GAP_DECAY_MS);
        return idleGapMs + (eventGapMs - idleGapMs) * weight;
    }

    /** Requires a health check before the next request, because the server may have restarted. */
    public void requireHealthCheck() {
        healthCheckPending = true;
    }

    /**
     * Records a successful health check.
     *
     * @param coldForMs remaining cold-start period in milliseconds
     * @param nowMs current time in milliseconds
     */
    public void healthCheckSucceeded(long coldForMs, long nowMs) {
        healthCheckPending = false;
        extendColdPeriod(coldForMs, nowMs);
    }

    void extendColdPeriod(long coldForMs, long nowMs) {
        coldUntilMs = Math.max(coldUntilMs, nowMs + coldForMs);
    }

    /** Records a successful response. */
    public void recordSuccess() {
        consecutiveFailures = 0;
        ejections = 0;
        failureRate *= 1 - FAILURE_RATE_SMOOTHING;
    }

    /**
     * Records a failure caused by the server.
     *
     * @param nowMs current time in milliseconds
     * @return true if this failure ejects the server
     */
    public boolean recordFailure(long nowMs) {
        consecutiveFailures++;
        failureRate += (1 - failureRate) * FAILURE_RATE_SMOOTHING;
        if (consecutiveFailures < CONSECUTIVE_FAILURES_TO_EJECT && failureRate < FAILURE_RATE_TO_EJECT) {
            return false;
        }
        ejectedUntilMs = nowMs + (BASE_EJECTION_MS << Math.min(ejections, MAX_EJECTION_DOUBLINGS));
        ejections++;
        consecutiveFailures = 0;
        failureRate = 0;
        return true;
    }

    boolean admitsColdRequest(double perSecond, long nowMs) {
        return perSecond > 0 && coldRequestLimiter.hasToken(perSecond, nowMs);
    }

    void update(ServerEntry next, long coldMs, long nowMs) {
        boolean restarted = next.startedMs().isPresent()
                && entry.startedMs().isPresent()
                && next.startedMs().getAsLong() != entry.startedMs().getAsLong();
        boolean addressChanged = !next.address().equals(entry.address());
        entry = next;
        if (restarted || addressChanged) {
            prefixCache.clear();
            speed.reset();
            heldOffUntilMs = 0;
            extendColdPeriod(Math.max(coldMs, next.coldForMs()), nowMs);
            return;
        }
        if (next.coldForMs() > 0) {
            extendColdPeriod(next.coldForMs(), nowMs);
        }
    }

    /** Handle of a request that was sent to the server. */
    public final class RequestHandle {
        private final RequestDemand demand;
        private final int prefillTokens;
        private final int reservedTokens;
        private final long backlogBefore;
        private boolean prefilled;
        private boolean ended;

        private RequestHandle(RequestDemand demand, int prefillTokens, int reservedTokens, long backlogBefore) {
            this.demand = demand;
            this.prefillTokens = prefillTokens;
            this.reservedTokens = reservedTokens;
            this.backlogBefore = backlogBefore;
        }

        /**
         * Returns the server to which the request was sent.
         *
         * @return the server
         */
        public BackendServer server() {
            return BackendServer.this;
        }

        /**
         * Records the first chunk of the response, which shows that prefill has completed.
         *
         * @return true if prefill was not recorded as complete before
         */
        public boolean firstChunkReceived() {
            if (prefilled) {
                return false;
            }
            completePrefill();
            prefixCache.markPrefilled(demand);
            return true;
        }

        /** Records the end of the request. Has no effect when called again. */
        public void ended() {
            if (ended) {
                return;
            }
            ended = true;
            if (!prefilled) {
                completePrefill();
            }
            inFlight--;
            reservedKvTokens -= reservedTokens;
        }

        private void completePrefill() {
            prefilled = true;
            unprefilled--;
            backlogTokens -= prefillTokens;
        }

        /**
         * Returns the number of tokens that the server had to prefill before the first chunk of the response.
         *
         * @return uncached tokens of this prompt plus the prefill backlog ahead of it
         */
        public long tokensAhead() {
            return backlogBefore + prefillTokens;
        }
    }
}
