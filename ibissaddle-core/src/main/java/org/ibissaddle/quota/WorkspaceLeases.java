package org.ibissaddle.quota;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.ibissaddle.id.InstanceId;
import org.ibissaddle.id.WorkspaceId;
import org.ibissaddle.route.Quota;

/**
 * Leases and waiting requests of one workspace at the local instance.
 *
 * @param <T> type of the requests
 */
final class WorkspaceLeases<T> {
    /** Period for which tokens are requested ahead of need, milliseconds. */
    private static final long AHEAD_MS = 500;
    /** Period of demand below which the held tokens are renewed, milliseconds; above a round trip between regions. */
    private static final long RENEWAL_MS = 250;
    /**
     * Number of requests expected in {@link #AHEAD_MS} from which tokens are requested ahead. With fewer, most of the
     * tokens would expire unspent.
     */
    private static final double MIN_EXPECTED_REQUESTS = 0.75;
    /** Time after a lease request without tokens for want of an issuer until the next one, milliseconds. */
    private static final long SILENT_RETRY_MS = 300;
    /** Time in which rejected callers return at least, milliseconds. */
    private static final long MIN_SPREAD_MS = 200;
    /** Maximum number of costs in a lease request; bounds the size of the message. */
    static final int MAX_WAITING_COSTS = 16;
    /** Maximum number of waiting requests; later ones would wait longer than a request may. */
    private static final int MAX_WAITING = 1_024;

    private final WorkspaceId workspace;
    private final QuotaBounds bounds;
    private final RandomGenerator random;
    private final Deque<Lease> leases = new ArrayDeque<>();
    private final Deque<Waiting<T>> waiting = new ArrayDeque<>();
    private final DemandRate rate = new DemandRate();
    private final Allowance allowance = new Allowance();
    private Quota quota = Quota.UNLIMITED;
    private int instances = 1;
    private boolean inFlight;
    private boolean silent;
    private long askAtMs;
    private long renewAtMs;
    private long availableAtMs;
    private long blockedUntilMs;
    private long blockedCost;
    private long spreadMs = MIN_SPREAD_MS;
    private long rejectedTokens;
    private Optional<InstanceId> answeredBy = Optional.empty();
    private Optional<LeaseAnswer> lastAnswer = Optional.empty();
    private long answeredMs;

    private record Waiting<T>(T request, long cost, long sinceMs, long untilMs) {}

    private static final class Lease {
        private final long expiresMs;
        private long tokens;

        Lease(long tokens, long expiresMs) {
            this.tokens = tokens;
            this.expiresMs = expiresMs;
        }
    }

    WorkspaceLeases(WorkspaceId workspace, QuotaBounds bounds, RandomGenerator random) {
        this.workspace = workspace;
        this.bounds = bounds;
        this.random = random;
    }

    QuotaDecision request(T request, Quota currentQuota, long cost, long waitUntilMs, int knownInstances, long nowMs) {
        if (currentQuota.perSecond() < quota.perSecond()) {
            leases.clear();
        }
        quota = currentQuota;
        instances = knownInstances;
        rate.record(cost, nowMs);
        if (waiting.isEmpty() && trySpend(cost, nowMs)) {
            return new QuotaDecision.Admitted();
        }
        if (silent) {
            return spendAllowance(cost, nowMs);
        }
        boolean blocked = cost >= blockedCost && blockedUntilMs > waitUntilMs;
        if (blocked || waitUntilMs <= nowMs || waiting.size() >= MAX_WAITING) {
            return reject(cost, nowMs);
        }
        waiting.add(new Waiting<>(request, cost, nowMs, waitUntilMs));
        return new QuotaDecision.Wait(waitUntilMs);
    }

    private QuotaDecision spendAllowance(long cost, long nowMs) {
        double perInstance = bounds.allowance(quota) / instances;
        return allowance.trySpend(cost, perInstance, bounds.windowMs(), random, nowMs)
                ? new QuotaDecision.Admitted()
                : reject(cost, nowMs);
    }

    private QuotaDecision reject(long cost, long nowMs) {
        rejectedTokens += cost;
        long fromMs = Math.max(nowMs, silent ? availableAtMs : blockedUntilMs);
        return new QuotaDecision.Rejected(fromMs + random.nextLong(spreadMs));
    }

    private boolean trySpend(long cost, long nowMs) {
        if (held(nowMs) < cost) {
            return false;
        }
        long left = cost;
        while (left > 0) {
            Lease first = leases.peekFirst();
            long spent = Math.min(left, first.tokens);
            first.tokens -= spent;
            left -= spent;
            if (first.tokens == 0) {
                leases.removeFirst();
            }
        }
        return true;
    }

    private long held(long nowMs) {
        leases.removeIf(lease -> lease.expiresMs <= nowMs);
        return leases.stream().mapToLong(lease -> lease.tokens).sum();
    }

    /** Whether a lease request is to be made now or later. */
    boolean wantsTokens(long nowMs) {
        return !waiting.isEmpty() || inFlight || ahead(nowMs) > 0 || (silent && isUsed(nowMs));
    }

    private boolean isUsed(long nowMs) {
        return rate.requestsIn(AHEAD_MS, nowMs) > MIN_EXPECTED_REQUESTS / 10;
    }

    boolean isDue(long nowMs) {
        return !inFlight && nowMs >= askAtMs && wantsTokens(nowMs);
    }

    boolean hasWaiting() {
        return !waiting.isEmpty();
    }

    /** Returns the tokens to request beyond those that requests wait for; 0 while enough are held. */
    private long ahead(long nowMs) {
        if (nowMs < renewAtMs || rate.requestsIn(AHEAD_MS, nowMs) < MIN_EXPECTED_REQUESTS) {
            return 0;
        }
        long held = held(nowMs);
        double low = rate.tokensIn(RENEWAL_MS, nowMs) + rate.averageCost();
        double target = rate.tokensIn(AHEAD_MS, nowMs) + rate.averageCost();
        return held >= low ? 0 : (long) Math.ceil(target - held);
    }

    LeaseRequest takeRequest(long nowMs) {
        inFlight = true;
        List<Long> costs =
                waiting.stream().limit(MAX_WAITING_COSTS).map(Waiting::cost).toList();
        long ahead = ahead(nowMs);
        LeaseRequest request = new LeaseRequest(workspace, costs, ahead, rejectedTokens);
        renewAtMs = ahead > 0 ? nowMs + RENEWAL_MS : renewAtMs;
        rejectedTokens = 0;
        return request;
    }

    List<Settled<T>> onAnswer(InstanceId issuer, LeaseAnswer answer, long sentMs, long nowMs) {
        answeredBy = Optional.of(issuer);
        lastAnswer = Optional.of(answer);
        answeredMs = nowMs;
        inFlight = false;
        return switch (answer) {
            case LeaseAnswer.Granted granted -> onGranted(granted, sentMs, nowMs);
            case LeaseAnswer.NotIssuing notIssuing -> onSilence(notIssuing.retryMs(), nowMs);
        };
    }

    List<Settled<T>> onFailure(long nowMs) {
        inFlight = false;
        return onSilence(SILENT_RETRY_MS, nowMs);
    }

    /** Stops waiting for the issuer: until the next answer, requests are served from the allowance only. */
    private List<Settled<T>> onSilence(long retryMs, long nowMs) {
        silent = true;
        availableAtMs = nowMs + retryMs;
        askAtMs = nowMs + Math.min(retryMs, SILENT_RETRY_MS);
        List<Settled<T>> settled = new ArrayList<>();
        for (Waiting<T> next : waiting) {
            settled.add(new Settled<>(next.request(), spendAllowance(next.cost(), nowMs)));
        }
        waiting.clear();
        return settled;
    }

    private List<Settled<T>> onGranted(LeaseAnswer.Granted granted, long sentMs, long nowMs) {
        silent = false;
        spreadMs = Math.max(MIN_SPREAD_MS, granted.backlogMs());
        // Counted from the sending of the lease request, so that a delayed answer prolongs no lease.
        long expiresMs = sentMs + granted.lifetimeMs();
        if (granted.tokens() > 0 && expiresMs > nowMs) {
            leases.add(new Lease(granted.tokens(), expiresMs));
        }
        blockedUntilMs = nowMs + granted.nextMs();
        askAtMs = blockedUntilMs;
        blockedCost = Long.MAX_VALUE;
        List<Settled<T>> settled = new ArrayList<>();
        for (Iterator<Waiting<T>> iterator = waiting.iterator(); iterator.hasNext(); ) {
            Waiting<T> next = iterator.next();
            if (trySpend(next.cost(), nowMs)) {
                settled.add(new Settled<>(next.request(), new QuotaDecision.Admitted()));
                iterator.remove();
                continue;
            }
            if (granted.nextMs() == 0) {
                continue;
            }
            blockedCost = Math.min(blockedCost, next.cost());
            if (next.untilMs() < blockedUntilMs) {
                settled.add(new Settled<>(next.request(), reject(next.cost(), nowMs)));
                iterator.remove();
            }
        }
        return settled;
    }

    /** Settles the requests whose maximum wait is over; without an answer meanwhile, from the allowance. */
    List<Settled<T>> settleExpired(long nowMs) {
        List<Settled<T>> settled = new ArrayList<>();
        for (Iterator<Waiting<T>> iterator = waiting.iterator(); iterator.hasNext(); ) {
            Waiting<T> next = iterator.next();
            if (next.untilMs() > nowMs) {
                continue;
            }
            boolean answered = lastAnswer.isPresent() && answeredMs >= next.sinceMs();
            settled.add(new Settled<>(
                    next.request(), answered ? reject(next.cost(), nowMs) : spendAllowance(next.cost(), nowMs)));
            iterator.remove();
        }
        return settled;
    }

    void cancel(T request) {
        waiting.removeIf(next -> next.request().equals(request));
    }

    /** Ends all waits when the workspace or its limit was removed. */
    List<Settled<T>> clear() {
        List<Settled<T>> settled = new ArrayList<>();
        waiting.forEach(next -> settled.add(new Settled<>(next.request(), new QuotaDecision.Admitted())));
        waiting.clear();
        return settled;
    }

    boolean isIdle(long idleMs, long nowMs) {
        return waiting.isEmpty() && !inFlight && rate.requestsIn(idleMs, nowMs) < MIN_EXPECTED_REQUESTS / idleMs;
    }

    LeaseState state(long nowMs) {
        return new LeaseState(held(nowMs), waiting.size(), answeredBy, lastAnswer, nowMs - answeredMs, silent);
    }
}
