package org.ibissaddle.internal.admission;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.ibissaddle.admission.WorkspaceRateLimiter;
import org.ibissaddle.id.InstanceId;
import org.ibissaddle.id.Region;
import org.ibissaddle.id.WorkspaceId;
import org.ibissaddle.note.Workspace;
import org.ibissaddle.outcome.ExecutionStatus;
import org.ibissaddle.outcome.Refusal;
import org.ibissaddle.outcome.RefusalType;

/**
 * Divides each limit in proportion to reported demand and reserves the last known share of each peer without a recent
 * report.
 */
public final class DemandBasedRateLimiter implements WorkspaceRateLimiter {
    private static final long REPORT_STALE_MS = 3_000;
    private static final long SHARE_CACHE_MS = 250;
    private static final long IDLE_EXPIRY_MS = 60_000;
    private static final double MIN_SHARE_RATIO = 0.1;

    private final Map<WorkspaceId, WorkspaceUsage> usages = new ConcurrentHashMap<>();
    private final Map<InstanceId, DemandReport> reports = new ConcurrentHashMap<>();
    private volatile Map<InstanceId, Region> peers = Map.of();

    private record DemandReport(Map<WorkspaceId, Double> demand, long receivedAtMs) {}

    /** Creates limits without peers. */
    public DemandBasedRateLimiter() {}

    @Override
    public Optional<Refusal> tryAcquire(Workspace workspace, long nowMs) {
        WorkspaceUsage usage = usageOf(workspace.id());
        usage.recordArrival(nowMs);
        double perSecond = workspace.requestsPerSecond() * share(workspace, nowMs);
        long freeAtMs = usage.tryAcquire(perSecond, nowMs);
        if (freeAtMs <= nowMs) {
            return Optional.empty();
        }
        String message = "workspace \"" + workspace.id() + "\" exceeds its limit of " + workspace.requestsPerSecond()
                + " requests per second";
        return Optional.of(Refusal.of(RefusalType.LIMIT_EXCEEDED, message, ExecutionStatus.NOT_RUN)
                .withRetryAt(freeAtMs));
    }

    @Override
    public Map<WorkspaceId, Double> demand(int maxEntries, long nowMs) {
        Map<WorkspaceId, Double> demands = new HashMap<>();
        usages.forEach((id, usage) -> demands.put(id, usage.demand(nowMs)));
        Map<WorkspaceId, Double> highest = new LinkedHashMap<>();
        demands.entrySet().stream()
                .filter(entry -> entry.getValue() > 0)
                .sorted(Map.Entry.<WorkspaceId, Double>comparingByValue(Comparator.reverseOrder())
                        .thenComparing(Map.Entry::getKey))
                .limit(maxEntries)
                .forEach(entry -> highest.put(entry.getKey(), entry.getValue()));
        return highest;
    }

    @Override
    public void recordPeerDemand(InstanceId peer, Map<WorkspaceId, Double> demand, long nowMs) {
        reports.put(peer, new DemandReport(Map.copyOf(demand), nowMs));
    }

    @Override
    public void setPeers(Map<InstanceId, Region> newPeers) {
        peers = Map.copyOf(newPeers);
        reports.keySet().retainAll(newPeers.keySet());
    }

    @Override
    public double share(Workspace declared, long nowMs) {
        WorkspaceId workspace = declared.id();
        WorkspaceUsage usage = usageOf(workspace);
        if (usage.shareUntilMs > nowMs) {
            return usage.share;
        }
        Set<InstanceId> sharingPeers = peersSharing(declared);
        double equalShare = 1.0 / (sharingPeers.size() + 1);
        double ownDemand = Math.max(usage.demand(nowMs), Double.MIN_NORMAL);
        double reportedDemand = ownDemand;
        double reserved = 0;
        for (InstanceId peer : sharingPeers) {
            DemandReport report = reports.get(peer);
            if (report != null && report.receivedAtMs + REPORT_STALE_MS > nowMs) {
                reportedDemand += report.demand.getOrDefault(workspace, 0.0);
            } else {
                reserved += usage.peerShare(peer, report == null ? equalShare : MIN_SHARE_RATIO * equalShare);
            }
        }
        updatePeerShares(usage, workspace, sharingPeers, reportedDemand, 1 - reserved, equalShare, nowMs);
        double available = Math.max(0, 1 - reserved);
        double minShare = Math.min(available, MIN_SHARE_RATIO * equalShare);
        int reporting = reportingPeers(sharingPeers, nowMs) + 1;
        double distributable = Math.max(0, available - MIN_SHARE_RATIO * equalShare * reporting);
        usage.share = minShare + distributable * ownDemand / reportedDemand;
        usage.shareUntilMs = nowMs + SHARE_CACHE_MS;
        return usage.share;
    }

    /** Returns the peers in the regions where the workspace is allowed. */
    private Set<InstanceId> peersSharing(Workspace workspace) {
        Set<InstanceId> allowed = new HashSet<>();
        peers.forEach((peer, region) -> {
            if (workspace.allows(region)) {
                allowed.add(peer);
            }
        });
        return allowed;
    }

    @Override
    public int expire(long nowMs) {
        usages.values().removeIf(usage -> usage.lastActiveMs() + IDLE_EXPIRY_MS < nowMs);
        return usages.size();
    }

    /** Stores the share that each peer with a recent report computes for itself, for use once its reports stop. */
    private void updatePeerShares(
            WorkspaceUsage usage,
            WorkspaceId workspace,
            Set<InstanceId> sharingPeers,
            double reportedDemand,
            double available,
            double equalShare,
            long nowMs) {
        int reporting = reportingPeers(sharingPeers, nowMs) + 1;
        double distributable = Math.max(0, available - MIN_SHARE_RATIO * equalShare * reporting);
        for (InstanceId peer : sharingPeers) {
            DemandReport report = reports.get(peer);
            if (report != null && report.receivedAtMs + REPORT_STALE_MS > nowMs) {
                double demand = report.demand.getOrDefault(workspace, 0.0);
                usage.setPeerShare(
                        peer, demand <= 0 ? 0 : MIN_SHARE_RATIO * equalShare + distributable * demand / reportedDemand);
            }
        }
    }

    /** Counts the peers with a recent demand report. */
    private int reportingPeers(Set<InstanceId> sharingPeers, long nowMs) {
        int count = 0;
        for (InstanceId peer : sharingPeers) {
            DemandReport report = reports.get(peer);
            count += report != null && report.receivedAtMs + REPORT_STALE_MS > nowMs ? 1 : 0;
        }
        return count;
    }

    private WorkspaceUsage usageOf(WorkspaceId id) {
        WorkspaceUsage existing = usages.get(id);
        return existing != null ? existing : usages.computeIfAbsent(id, w -> new WorkspaceUsage());
    }
}
