package org.ibissaddle.quota;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.ibissaddle.id.InstanceId;
import org.ibissaddle.id.WorkspaceId;
import org.ibissaddle.route.Quota;

/**
 * What the local instance may spend of the quotas: leases that issuers have granted to it, and a small allowance
 * without an issuer. Not thread-safe; confined to one thread.
 *
 * @param <T> type of the requests that wait for tokens, each of which equals only itself
 */
public final class QuotaLeases<T> {
    /** Maximum number of workspaces in a message. */
    public static final int MAX_REQUESTS_PER_BATCH = 32;

    /**
     * Maximum number of messages per second to issuers. It bounds the traffic of a deployment with more active
     * workspaces than that; their lease requests then share messages and wait for each other.
     */
    public static final int MAX_BATCHES_PER_S = 40;

    /** Messages that may be sent at once after a pause. */
    private static final int BATCH_BURST = 20;
    /** Messages that are kept for requests that wait; the others renew leases ahead of need. */
    private static final int BATCHES_FOR_WAITING = 10;
    /** Period without requests after which the state of a workspace is dropped, milliseconds. */
    private static final long IDLE_EXPIRY_MS = 10_000;
    /**
     * Number of instances that is assumed while the deployment may be larger than the known part of it, as after the
     * start of the process.
     */
    public static final int MIN_INSTANCES_AT_START = 32;

    private static final double MS_PER_SECOND = 1_000;

    private final InstanceId self;
    private final QuotaBounds bounds;
    private final RandomGenerator random;
    private final Map<WorkspaceId, WorkspaceLeases<T>> byWorkspace = new HashMap<>();
    private final Set<WorkspaceId> wanting = new LinkedHashSet<>();
    private double batches = BATCH_BURST;
    private long batchesAtMs;
    private long expiredIdleAtMs;

    /**
     * Creates the state of an instance that holds nothing.
     *
     * @param self the local instance
     * @param bounds the bound that the deployment has to keep
     * @param random source of randomness
     */
    public QuotaLeases(InstanceId self, QuotaBounds bounds, RandomGenerator random) {
        this.self = self;
        this.bounds = bounds;
        this.random = random;
    }

    /**
     * Decides on a request that has arrived from its caller.
     *
     * @param request the request
     * @param workspace its workspace
     * @param quota the quota in force, which is limited
     * @param cost what the request takes from the quota, in its unit
     * @param waitUntilMs time until which the request may wait for tokens, milliseconds
     * @param instances number of instances that share the allowance, including the local one
     * @param nowMs current time, milliseconds
     * @return whether it may run, or has to wait; a wait ends with a {@link Settled} or {@link #cancel}
     */
    public QuotaDecision request(
            T request, WorkspaceId workspace, Quota quota, long cost, long waitUntilMs, int instances, long nowMs) {
        WorkspaceLeases<T> leases =
                byWorkspace.computeIfAbsent(workspace, id -> new WorkspaceLeases<>(id, bounds, random));
        QuotaDecision decision = leases.request(request, quota, cost, waitUntilMs, instances, nowMs);
        if (leases.wantsTokens(nowMs)) {
            wanting.add(workspace);
        }
        return decision;
    }

    /**
     * Removes a request that no longer waits, because its caller has left.
     *
     * @param workspace its workspace
     * @param request the request
     */
    public void cancel(WorkspaceId workspace, T request) {
        WorkspaceLeases<T> leases = byWorkspace.get(workspace);
        if (leases != null) {
            leases.cancel(request);
        }
    }

    /**
     * Returns whether {@link #takeDue} or {@link #settleExpired} may have something to do now or later.
     *
     * @return false if no workspace needs tokens
     */
    public boolean isActive() {
        return !wanting.isEmpty();
    }

    /**
     * Takes the lease requests to send now, at most one in flight for each workspace. Requests to the same issuer share
     * a message; waiting requests go before renewals.
     *
     * @param issuerOf returns the issuer of a workspace
     * @param nowMs current time, milliseconds
     * @return one batch for each message; batches for the local instance count towards no limit
     */
    public List<LeaseBatch> takeDue(Function<WorkspaceId, InstanceId> issuerOf, long nowMs) {
        refillBatches(nowMs);
        expireIdle(nowMs);
        Map<InstanceId, List<WorkspaceLeases<T>>> byIssuer = new LinkedHashMap<>();
        List<WorkspaceId> satisfied = new ArrayList<>();
        for (WorkspaceId workspace : wanting) {
            WorkspaceLeases<T> leases = byWorkspace.get(workspace);
            if (leases == null || !leases.wantsTokens(nowMs)) {
                satisfied.add(workspace);
                continue;
            }
            if (leases.isDue(nowMs)) {
                byIssuer.computeIfAbsent(issuerOf.apply(workspace), id -> new ArrayList<>())
                        .add(leases);
            }
        }
        satisfied.forEach(wanting::remove);
        List<Map.Entry<InstanceId, List<WorkspaceLeases<T>>>> ordered = new ArrayList<>(byIssuer.entrySet());
        ordered.sort(Comparator.comparing(entry -> !hasWaiting(entry.getValue())));
        List<LeaseBatch> due = new ArrayList<>();
        for (Map.Entry<InstanceId, List<WorkspaceLeases<T>>> entry : ordered) {
            if (!entry.getKey().equals(self) && !tryTakeBatch(hasWaiting(entry.getValue()))) {
                continue;
            }
            List<LeaseRequest> requests = entry.getValue().stream()
                    .sorted(Comparator.comparing(leases -> !leases.hasWaiting()))
                    .limit(MAX_REQUESTS_PER_BATCH)
                    .map(leases -> leases.takeRequest(nowMs))
                    .toList();
            due.add(new LeaseBatch(entry.getKey(), requests));
        }
        return due;
    }

    private static boolean hasWaiting(List<? extends WorkspaceLeases<?>> all) {
        return all.stream().anyMatch(WorkspaceLeases::hasWaiting);
    }

    private boolean tryTakeBatch(boolean waiting) {
        if (batches < (waiting ? 1 : 1 + BATCHES_FOR_WAITING)) {
            return false;
        }
        batches--;
        return true;
    }

    private void refillBatches(long nowMs) {
        batches = Math.min(BATCH_BURST, batches + (nowMs - batchesAtMs) * MAX_BATCHES_PER_S / MS_PER_SECOND);
        batchesAtMs = nowMs;
    }

    private void expireIdle(long nowMs) {
        if (nowMs - expiredIdleAtMs < IDLE_EXPIRY_MS) {
            return;
        }
        expiredIdleAtMs = nowMs;
        byWorkspace.values().removeIf(leases -> leases.isIdle(IDLE_EXPIRY_MS, nowMs));
    }

    /**
     * Applies the answers to a batch.
     *
     * @param issuer the instance that answered
     * @param answers its answers
     * @param sentMs time at which the batch was sent, milliseconds
     * @param nowMs current time, milliseconds
     * @return the requests whose wait has ended
     */
    public List<Settled<T>> onAnswers(InstanceId issuer, List<LeaseAnswer> answers, long sentMs, long nowMs) {
        List<Settled<T>> settled = new ArrayList<>();
        for (LeaseAnswer answer : answers) {
            WorkspaceLeases<T> leases = byWorkspace.get(answer.workspace());
            if (leases != null) {
                settled.addAll(leases.onAnswer(issuer, answer, sentMs, nowMs));
            }
        }
        return settled;
    }

    /**
     * Records that a batch was not answered, or not in time; a later answer must not be applied any more.
     *
     * @param batch the batch
     * @param nowMs current time, milliseconds
     * @return the requests whose wait has ended
     */
    public List<Settled<T>> onFailure(LeaseBatch batch, long nowMs) {
        List<Settled<T>> settled = new ArrayList<>();
        for (LeaseRequest request : batch.requests()) {
            WorkspaceLeases<T> leases = byWorkspace.get(request.workspace());
            if (leases != null) {
                settled.addAll(leases.onFailure(nowMs));
            }
        }
        return settled;
    }

    /**
     * Ends the waits that have lasted for as long as they may.
     *
     * @param nowMs current time, milliseconds
     * @return the requests whose wait has ended
     */
    public List<Settled<T>> settleExpired(long nowMs) {
        List<Settled<T>> settled = new ArrayList<>();
        for (WorkspaceId workspace : wanting) {
            WorkspaceLeases<T> leases = byWorkspace.get(workspace);
            if (leases != null && leases.hasWaiting()) {
                settled.addAll(leases.settleExpired(nowMs));
            }
        }
        return settled;
    }

    /**
     * Drops the leases of workspaces that were removed or are no longer limited.
     *
     * @param limited whether a workspace has a limit
     * @return the requests whose wait has ended, as admitted; the caller of this method checks their keys again
     */
    public List<Settled<T>> retain(Predicate<WorkspaceId> limited) {
        List<Settled<T>> settled = new ArrayList<>();
        byWorkspace.forEach((workspace, leases) -> {
            if (!limited.test(workspace)) {
                settled.addAll(leases.clear());
            }
        });
        byWorkspace.keySet().removeIf(limited.negate());
        return settled;
    }

    /**
     * Returns what the local instance holds of a quota.
     *
     * @param workspace the workspace
     * @param nowMs current time, milliseconds
     * @return the state; nothing is held and nobody has answered if there was no request lately
     */
    public LeaseState state(WorkspaceId workspace, long nowMs) {
        WorkspaceLeases<T> leases = byWorkspace.get(workspace);
        return leases == null ? LeaseState.EMPTY : leases.state(nowMs);
    }
}
