package org.ibissaddle.quota;

import java.util.HashMap;
import java.util.Map;
import org.ibissaddle.id.InstanceId;
import org.ibissaddle.id.WorkspaceId;
import org.ibissaddle.route.Quota;

/** Token bucket of one workspace at its issuer. */
final class QuotaBucket {
    /**
     * Lifetime of a lease, milliseconds. With half a second of requests queued for servers it shifts at most 1.5 s of
     * the rate into a later window.
     */
    static final long LEASE_LIFETIME_MS = 1_000;

    /** Age above which a report of the need of an instance is ignored, milliseconds. */
    private static final long NEED_EXPIRY_MS = 1_000;
    /** Level, as a fraction of the depth, that is kept for requests that wait and not granted ahead of need. */
    private static final double RESERVE_FRACTION = 0.5;
    /** Level, as a fraction of the depth, from which a request may overdraw the bucket. */
    private static final double OVERDRAFT_LEVEL = 0.5;
    /**
     * Share of the deployment above which a full bucket serves a request of any cost. Below it, several issuers may
     * exist, whose overdrafts would add up.
     */
    private static final double MIN_SHARE_FOR_ANY_COST = 0.75;

    private static final double FULL = 0.999;
    private static final double MS_PER_SECOND = 1_000;
    private static final long MIN_NEXT_MS = 10;
    private static final long MAX_NEXT_MS = 2_000;

    private final QuotaBounds bounds;
    private final long firstSinceMs;
    private final Map<InstanceId, Need> needs = new HashMap<>();
    private Quota quota;
    private double share;
    private double level;
    private double backlog;
    private long updatedMs;

    /** Needs of an instance: what it asked for, and what it waits for in vain. */
    private record Need(double asked, double unmet, long atMs) {}

    QuotaBucket(QuotaBounds bounds, Quota quota, double share, long firstSinceMs, long emptyAtMs) {
        this.bounds = bounds;
        this.quota = quota;
        this.share = share;
        this.firstSinceMs = firstSinceMs;
        this.updatedMs = emptyAtMs;
    }

    long firstSinceMs() {
        return firstSinceMs;
    }

    long updatedMs() {
        return updatedMs;
    }

    /** Fills the bucket up to now as before, then applies a limit and the share of the deployment that is heard. */
    void update(Quota newQuota, double newShare, long nowMs) {
        double seconds = Math.max(0, nowMs - updatedMs) / MS_PER_SECOND;
        level += rate() * seconds;
        backlog = Math.max(0, backlog - rate() * seconds);
        updatedMs = Math.max(updatedMs, nowMs);
        quota = newQuota;
        share = newShare;
        level = Math.min(level, depth());
    }

    void update(double newShare, long nowMs) {
        update(quota, newShare, nowMs);
    }

    LeaseAnswer.Granted grant(InstanceId from, WorkspaceId workspace, LeaseRequest request, long nowMs) {
        needs.values().removeIf(need -> nowMs - need.atMs() > NEED_EXPIRY_MS);
        double waiting = request.waiting().stream().mapToLong(Long::longValue).sum();
        double asked = waiting + request.ahead();
        double othersAsked = 0;
        double othersUnmet = 0;
        for (Map.Entry<InstanceId, Need> other : needs.entrySet()) {
            if (!other.getKey().equals(from)) {
                othersAsked += other.getValue().asked();
                othersUnmet += other.getValue().unmet();
            }
        }
        double portion = asked + othersAsked <= level ? level : level * asked / Math.max(1, asked + othersAsked);
        double granted = 0;
        double unmet = 0;
        long firstUnmet = 0;
        for (long cost : request.waiting()) {
            boolean withinPortion = granted == 0 || granted + cost <= portion;
            if (withinPortion && covers(cost)) {
                level -= cost;
                granted += cost;
                continue;
            }
            firstUnmet = firstUnmet == 0 ? cost : firstUnmet;
            unmet += cost;
        }
        if (unmet == 0) {
            double free = Math.min(level - depth() * RESERVE_FRACTION, portion - granted);
            double ahead = Math.floor(Math.max(0, Math.min((double) request.ahead(), free)));
            level -= ahead;
            granted += ahead;
        }
        needs.put(from, new Need(asked, unmet, nowMs));
        backlog = Math.min(backlog + request.rejected(), rate() * bounds.windowMs() / MS_PER_SECOND);
        long nextMs = unmet == 0 ? 0 : msUntil(firstUnmet, othersUnmet);
        return new LeaseAnswer.Granted(
                workspace, (long) granted, LEASE_LIFETIME_MS, nextMs, (long) (backlog / rate() * MS_PER_SECOND));
    }

    /** Whether the level serves a request, possibly with an overdraft that later requests wait for. */
    private boolean covers(long cost) {
        return level >= requiredLevel(cost);
    }

    private double requiredLevel(long cost) {
        double full = depth() * FULL;
        double overdrawn = Math.max(depth() * OVERDRAFT_LEVEL, cost - bounds.overdraft(quota) * share);
        double required = Math.min((double) cost, overdrawn);
        return required > full && share >= MIN_SHARE_FOR_ANY_COST ? full : required;
    }

    private long msUntil(long cost, double ahead) {
        double missing = requiredLevel(cost) + ahead - level;
        return Math.clamp((long) Math.ceil(missing / rate() * MS_PER_SECOND), MIN_NEXT_MS, MAX_NEXT_MS);
    }

    private double rate() {
        return quota.perSecond() * share;
    }

    private double depth() {
        return bounds.depth(quota) * share;
    }
}
