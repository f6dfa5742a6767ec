package org.ibissaddle.quota;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.function.Predicate;
import org.ibissaddle.id.InstanceId;
import org.ibissaddle.id.Region;
import org.ibissaddle.id.WorkspaceId;
import org.ibissaddle.internal.membership.RendezvousHash;
import org.ibissaddle.peer.PeerTable;
import org.ibissaddle.route.Quota;

/**
 * Issues leases on the quotas of the workspaces for which the local instance is the first in rank, and knows the issuer
 * of every workspace. Not thread-safe; confined to one thread.
 */
public final class QuotaIssuer {
    /**
     * Time that the local instance must have believed itself to be first before it issues, milliseconds: longer than
     * others may still believe the previous issuer to be running, by one round of messages.
     */
    public static final long HOLD_DOWN_MS = PeerTable.STALE_STATE_MS + 500;

    /**
     * Time between two observations above which the local instance was suspended, milliseconds. Others may have chosen
     * another issuer meanwhile.
     */
    private static final long MAX_OBSERVATION_GAP_MS = 1_500;
    /** Time without an answer to any own message after which nothing is granted, milliseconds: four rounds. */
    private static final long MAX_UNANSWERED_MS = 2_000;
    /** Age at which a bucket that was not used is dropped, milliseconds; it is full again by then. */
    private static final long IDLE_EXPIRY_MS = 60_000;

    private static final long FORGET_MS = 60_000;

    private final InstanceId self;
    private final QuotaBounds bounds;
    private final Map<InstanceId, Long> lastAliveMs = new HashMap<>();
    private final Map<Region, ContactRatio> contacts = new HashMap<>();
    private final Map<WorkspaceId, QuotaBucket> buckets = new HashMap<>();
    private final Map<WorkspaceId, InstanceId> issuers = new HashMap<>();
    private Set<InstanceId> alive = Set.of();
    private OptionalInt deploymentSize = OptionalInt.empty();
    private double share;
    private long uninterruptedSinceMs;
    private long observedMs;
    private long answeredMs;

    /**
     * Creates an issuer that grants nothing before the hold-down time has passed.
     *
     * @param self the local instance
     * @param bounds the bound that the deployment has to keep
     * @param nowMs current time, milliseconds
     */
    public QuotaIssuer(InstanceId self, QuotaBounds bounds, long nowMs) {
        this.self = self;
        this.bounds = bounds;
        this.uninterruptedSinceMs = nowMs;
        this.observedMs = nowMs;
        this.answeredMs = nowMs;
    }

    /**
     * Records which other instances are believed to be running. To be called at least once a second.
     *
     * @param running the other instances that were heard from recently, with their regions
     * @param size number of instances including the local one and those that are down or partitioned; empty while it is
     *     unknown
     * @param nowMs current time, milliseconds
     */
    public void observe(Map<InstanceId, Region> running, OptionalInt size, long nowMs) {
        if (nowMs - observedMs > MAX_OBSERVATION_GAP_MS) {
            uninterruptedSinceMs = nowMs;
        }
        observedMs = nowMs;
        running.keySet().forEach(id -> lastAliveMs.put(id, nowMs));
        lastAliveMs.values().removeIf(atMs -> nowMs - atMs > FORGET_MS);
        if (!alive.equals(running.keySet())) {
            alive = Set.copyOf(running.keySet());
            issuers.clear();
        }
        deploymentSize = size;
        double heard = heard(running.values(), nowMs);
        double newShare = Math.min(1, heard / Math.max(size.orElse(1), running.size() + 1));
        buckets.values().removeIf(bucket -> nowMs - bucket.updatedMs() > IDLE_EXPIRY_MS);
        if (newShare != share) {
            share = newShare;
            buckets.values().forEach(bucket -> bucket.update(share, nowMs));
        }
    }

    /** Counts the local instance and those that hear it too: their answers are the evidence for that. */
    private double heard(Collection<Region> regions, long nowMs) {
        double heard = 1;
        for (Region region : regions) {
            ContactRatio ratio = contacts.get(region);
            heard += ratio == null ? 1 : ratio.value(nowMs);
        }
        return heard;
    }

    /**
     * Records whether a message to an instance was answered. Messages to instances that are not believed to be running
     * are ignored, as those are not counted anyway.
     *
     * @param peer the instance
     * @param region its region
     * @param answered whether it answered in time
     * @param nowMs current time, milliseconds
     */
    public void recordContact(InstanceId peer, Region region, boolean answered, long nowMs) {
        if (answered) {
            answeredMs = nowMs;
        }
        if (answered || alive.contains(peer)) {
            contacts.computeIfAbsent(region, name -> new ContactRatio()).record(answered, nowMs);
        }
    }

    /**
     * Returns the instance that issues the tokens of a workspace as far as the local instance knows.
     *
     * @param workspace the workspace
     * @return the first in rank of the running instances, possibly the local one
     */
    public InstanceId issuerOf(WorkspaceId workspace) {
        return issuers.computeIfAbsent(workspace, id -> {
            Set<InstanceId> candidates = new HashSet<>(alive);
            candidates.add(self);
            return RendezvousHash.choose(id.name(), candidates).orElse(self);
        });
    }

    /**
     * Answers a lease request.
     *
     * @param from the instance that asks, possibly the local one
     * @param request its lease request
     * @param quota the quota in force, empty if the workspace is unknown or unlimited
     * @param nowMs current time, milliseconds
     * @return granted tokens, or why none are issued
     */
    public LeaseAnswer answer(InstanceId from, LeaseRequest request, Optional<Quota> quota, long nowMs) {
        WorkspaceId workspace = request.workspace();
        if (quota.isEmpty()) {
            buckets.remove(workspace);
            return new LeaseAnswer.NotIssuing(workspace, LeaseAnswer.Reason.UNKNOWN_WORKSPACE, HOLD_DOWN_MS);
        }
        if (!issuerOf(workspace).equals(self)) {
            buckets.remove(workspace);
            return new LeaseAnswer.NotIssuing(workspace, LeaseAnswer.Reason.NOT_FIRST, MAX_UNANSWERED_MS);
        }
        if (deploymentSize.isEmpty() || nowMs - observedMs > MAX_OBSERVATION_GAP_MS) {
            return new LeaseAnswer.NotIssuing(workspace, LeaseAnswer.Reason.DISCOVERING, HOLD_DOWN_MS);
        }
        QuotaBucket known = buckets.get(workspace);
        long firstSinceMs = firstSinceMs(workspace);
        long emptyAtMs = firstSinceMs + HOLD_DOWN_MS;
        if (nowMs < emptyAtMs) {
            return new LeaseAnswer.NotIssuing(workspace, LeaseAnswer.Reason.HOLD_DOWN, emptyAtMs - nowMs);
        }
        if (deploymentSize.getAsInt() > 1 && nowMs - answeredMs > MAX_UNANSWERED_MS) {
            return new LeaseAnswer.NotIssuing(workspace, LeaseAnswer.Reason.UNANSWERED, MAX_UNANSWERED_MS);
        }
        if (known == null || known.firstSinceMs() != firstSinceMs) {
            known = new QuotaBucket(bounds, quota.get(), share, firstSinceMs, emptyAtMs);
            buckets.put(workspace, known);
        }
        known.update(quota.get(), share, nowMs);
        return known.grant(from, workspace, request, nowMs);
    }

    /** Returns since when no running instance has outranked the local one, and the local one was not suspended. */
    private long firstSinceMs(WorkspaceId workspace) {
        long sinceMs = uninterruptedSinceMs;
        for (Map.Entry<InstanceId, Long> other : lastAliveMs.entrySet()) {
            boolean later = other.getValue() > sinceMs;
            if (later && RendezvousHash.rank(workspace.name(), self, Set.of(other.getKey())) > 0) {
                sinceMs = other.getValue();
            }
        }
        return sinceMs;
    }

    /**
     * Drops the buckets of workspaces that are no longer limited.
     *
     * @param limited whether a workspace has a limit
     */
    public void retain(Predicate<WorkspaceId> limited) {
        buckets.keySet().removeIf(limited.negate());
        issuers.keySet().removeIf(limited.negate());
    }

    /**
     * Returns the part of each quota that this instance issues.
     *
     * @return running instances that hear this one as a fraction of the deployment
     */
    public double share() {
        return share;
    }
}
