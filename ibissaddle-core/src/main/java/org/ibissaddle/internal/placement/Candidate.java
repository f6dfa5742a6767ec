package org.ibissaddle.internal.placement;

import org.ibissaddle.fleet.Health;
import org.ibissaddle.fleet.ServerLoad;
import org.ibissaddle.fleet.ServerView;

/**
 * A server that is able to serve some work. To avoid counting this instance's requests twice, the work it had
 * outstanding when the server reported is subtracted from the report; the remainder is attributed to other instances.
 */
final class Candidate {
    final ServerView view;
    final ServerState state;
    final boolean suspect;
    private final double msPerToken;
    private final double latencyRatio;
    private final double otherPrefillTokens;
    private final double otherDecodeTokens;
    private final int otherRequests;

    Candidate(ServerView view, ServerState state, double slowStartFactor, long nowMs) {
        ServerLoad load = view.load();
        this.view = view;
        this.state = state;
        suspect = view.health() == Health.SUSPECT;
        double capacity = load.capacityTokensPerSecond() > 0
                ? load.capacityTokensPerSecond()
                : WorkCosts.DEFAULT_TOKENS_PER_SECOND;
        latencyRatio = state.latencyRatio(nowMs);
        msPerToken = WorkCosts.MS_PER_SECOND / (capacity * slowStartFactor);
        long ownWorkAtReport =
                load.reportedAtMs() > 0 ? state.outstanding.packedAt(Math.min(nowMs, load.reportedAtMs())) : 0;
        otherPrefillTokens = Math.max(0, load.queuedTokens() - OutstandingWork.unpackPrefillTokens(ownWorkAtReport));
        otherDecodeTokens = Math.max(0, load.decodeTokens() - OutstandingWork.unpackDecodeTokens(ownWorkAtReport));
        otherRequests = Math.max(0, load.running() + load.queued() - OutstandingWork.unpackRequests(ownWorkAtReport));
    }

    /** Predicts the time to the first token for a request with the given number of uncached prompt tokens. */
    double firstTokenMs(double uncachedTokens) {
        return unscaledFirstTokenMs(uncachedTokens) * latencyRatio;
    }

    /** Same as {@link #firstTokenMs} without the correction by the observed latency ratio. */
    double unscaledFirstTokenMs(double uncachedTokens) {
        double prefillMs = (state.outstanding.prefillTokens() + otherPrefillTokens + uncachedTokens)
                * WorkCosts.PREFILL_TOKEN_COST
                * msPerToken;
        int requests = requests();
        int slots = state.slots();
        double slotWait = requests < slots ? 0 : (requests - slots + 1) * pendingDecodeTokens() / requests * msPerToken;
        return prefillMs + slotWait;
    }

    /** Time to prefill prompt tokens on this server when it is idle. */
    double prefillMs(double tokens) {
        return tokens * WorkCosts.PREFILL_TOKEN_COST * msPerToken * latencyRatio;
    }

    /** Throughput of the server, reduced while it is in slow start. */
    double tokensPerSecond() {
        return WorkCosts.MS_PER_SECOND / msPerToken;
    }

    /** Time to generate all pending output tokens. */
    double decodeMs() {
        return pendingDecodeTokens() * msPerToken;
    }

    /** Number of requests at the server, from this and other instances. */
    int requests() {
        return Math.max(0, state.outstanding.requests()) + otherRequests;
    }

    private double pendingDecodeTokens() {
        return Math.max(0, state.outstanding.decodeTokens()) + otherDecodeTokens;
    }
}
