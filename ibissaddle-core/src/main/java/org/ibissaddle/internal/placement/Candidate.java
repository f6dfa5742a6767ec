package org.ibissaddle.internal.placement;

import org.ibissaddle.fleet.Health;
import org.ibissaddle.fleet.ServerLoad;
import org.ibissaddle.fleet.ServerView;

/** A server that may serve a kind of work, with its last report set against own work at the time of the report. */
final class Candidate {
    final ServerView view;
    final ServerState state;
    final boolean suspect;
    private final double msPerToken;
    private final double slowness;
    private final double othersPrefill;
    private final double othersDecode;
    private final int othersRequests;

    Candidate(ServerView view, ServerState state, double ramp, long nowMs) {
        ServerLoad load = view.load();
        this.view = view;
        this.state = state;
        suspect = view.health() == Health.SUSPECT;
        double capacity = load.capacityTokensPerSecond() > 0 ? load.capacityTokensPerSecond() : Costs.DEFAULT_CAPACITY;
        slowness = state.slowness(nowMs);
        msPerToken = Costs.MS_PER_SECOND / (capacity * ramp);
        long then = load.reportedAtMs() > 0 ? state.own.at(Math.min(nowMs, load.reportedAtMs())) : 0;
        othersPrefill = Math.max(0, load.queuedTokens() - OwnWork.prefillOf(then));
        othersDecode = Math.max(0, load.decodeTokens() - OwnWork.decodeOf(then));
        othersRequests = Math.max(0, load.running() + load.queued() - OwnWork.requestsOf(then));
    }

    /** Predicted time until a request with so many uncached prompt tokens gets its first token here. */
    double firstTokenMs(double uncached) {
        return unscaledFirstTokenMs(uncached) * slowness;
    }

    /** The same prediction before what was learnt of the server's speed is applied. */
    double unscaledFirstTokenMs(double uncached) {
        double prefill = (state.own.prefill() + othersPrefill + uncached) * Costs.PREFILL * msPerToken;
        int requests = requests();
        int slots = state.slots();
        double slotWait = requests < slots ? 0 : (requests - slots + 1) * decode() / requests * msPerToken;
        return prefill + slotWait;
    }

    /** Time to read prompt tokens here when nothing else is to be done. */
    double prefillMs(double tokens) {
        return tokens * Costs.PREFILL * msPerToken * slowness;
    }

    /** Speed of the server while it is not ramping. */
    double tokensPerSecond() {
        return Costs.MS_PER_SECOND / msPerToken;
    }

    /** Time to generate all that is to be generated here. */
    double decodeMs() {
        return decode() * msPerToken;
    }

    /** Requests at the server. */
    int requests() {
        return Math.max(0, state.own.requests()) + othersRequests;
    }

    private double decode() {
        return Math.max(0, state.own.decode()) + othersDecode;
    }
}
