package org.ibissaddle.internal.admission;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.ibissaddle.admission.WorkspaceLimits;
import org.ibissaddle.id.InstanceId;
import org.ibissaddle.id.Region;
import org.ibissaddle.id.WorkspaceId;
import org.ibissaddle.note.Workspace;
import org.ibissaddle.outcome.Fate;
import org.ibissaddle.outcome.Refusal;
import org.ibissaddle.outcome.RefusalType;

/** Splits each limit by demand, and keeps the shares of lost peers as they last were. */
public final class DemandLimits implements WorkspaceLimits {
    private static final long STALE_MS = 3_000;
    private static final long SHARE_MS = 250;
    private static final long IDLE_MS = 60_000;
    private static final double FLOOR = 0.1;

    private final Map<WorkspaceId, WorkspaceUse> uses = new ConcurrentHashMap<>();
    private final Map<InstanceId, Told> told = new ConcurrentHashMap<>();
    private volatile Map<InstanceId, Region> peers = Map.of();

    private record Told(Map<WorkspaceId, Double> demand, long atMs) {}

    /** Creates limits that know of no peer yet. */
    public DemandLimits() {}

    @Override
    public Optional<Refusal> tryAcquire(Workspace workspace, long nowMs) {
        WorkspaceUse use = use(workspace.id());
        use.arrived(nowMs);
        double perSecond = workspace.requestsPerSecond() * share(workspace, nowMs);
        long freeAtMs = use.take(perSecond, nowMs);
        if (freeAtMs <= nowMs) {
            return Optional.empty();
        }
        String message = "workspace \"" + workspace.id() + "\" exceeds its limit of " + workspace.requestsPerSecond()
                + " requests per second";
        return Optional.of(
                Refusal.of(RefusalType.LIMIT_EXCEEDED, message, Fate.NOT_RUN).retryAt(freeAtMs));
    }

    @Override
    public Map<WorkspaceId, Double> demand(int most, long nowMs) {
        Map<WorkspaceId, Double> all = new HashMap<>();
        uses.forEach((id, use) -> all.put(id, use.demand(nowMs)));
        Map<WorkspaceId, Double> greatest = new LinkedHashMap<>();
        all.entrySet().stream()
                .filter(entry -> entry.getValue() > 0)
                .sorted(Map.Entry.<WorkspaceId, Double>comparingByValue(Comparator.reverseOrder())
                        .thenComparing(Map.Entry::getKey))
                .limit(most)
                .forEach(entry -> greatest.put(entry.getKey(), entry.getValue()));
        return greatest;
    }

    @Override
    public void peerDemand(InstanceId peer, Map<WorkspaceId, Double> demand, long nowMs) {
        told.put(peer, new Told(Map.copyOf(demand), nowMs));
    }

    @Override
    public void peers(Map<InstanceId, Region> all) {
        peers = Map.copyOf(all);
        told.keySet().retainAll(all.keySet());
    }

    @Override
    public double share(Workspace declared, long nowMs) {
        WorkspaceId workspace = declared.id();
        WorkspaceUse use = use(workspace);
        if (use.shareUntilMs > nowMs) {
            return use.share;
        }
        Set<InstanceId> others = sharers(declared);
        double equal = 1.0 / (others.size() + 1);
        double own = Math.max(use.demand(nowMs), Double.MIN_NORMAL);
        double fresh = own;
        double reserved = 0;
        for (InstanceId peer : others) {
            Told last = told.get(peer);
            if (last != null && last.atMs + STALE_MS > nowMs) {
                fresh += last.demand.getOrDefault(workspace, 0.0);
            } else {
                reserved += use.shareOf(peer, last == null ? equal : FLOOR * equal);
            }
        }
        remember(use, workspace, others, fresh, 1 - reserved, equal, nowMs);
        double open = Math.max(0, 1 - reserved);
        double floor = Math.min(open, FLOOR * equal);
        int freshCount = freshCount(others, nowMs) + 1;
        double dynamic = Math.max(0, open - FLOOR * equal * freshCount);
        use.share = floor + dynamic * own / fresh;
        use.shareUntilMs = nowMs + SHARE_MS;
        return use.share;
    }

    private Set<InstanceId> sharers(Workspace workspace) {
        Set<InstanceId> sharers = new HashSet<>();
        peers.forEach((peer, region) -> {
            if (workspace.allows(region)) {
                sharers.add(peer);
            }
        });
        return sharers;
    }

    @Override
    public int expire(long nowMs) {
        uses.values().removeIf(use -> use.idleSince() + IDLE_MS < nowMs);
        return uses.size();
    }

    private void remember(
            WorkspaceUse use,
            WorkspaceId workspace,
            Set<InstanceId> others,
            double fresh,
            double open,
            double equal,
            long nowMs) {
        int count = freshCount(others, nowMs) + 1;
        double dynamic = Math.max(0, open - FLOOR * equal * count);
        for (InstanceId peer : others) {
            Told last = told.get(peer);
            if (last != null && last.atMs + STALE_MS > nowMs) {
                double demand = last.demand.getOrDefault(workspace, 0.0);
                use.remember(peer, demand <= 0 ? 0 : FLOOR * equal + dynamic * demand / fresh);
            }
        }
    }

    private int freshCount(Set<InstanceId> others, long nowMs) {
        int count = 0;
        for (InstanceId peer : others) {
            Told last = told.get(peer);
            count += last != null && last.atMs + STALE_MS > nowMs ? 1 : 0;
        }
        return count;
    }

    private WorkspaceUse use(WorkspaceId id) {
        WorkspaceUse known = uses.get(id);
        return known != null ? known : uses.computeIfAbsent(id, w -> new WorkspaceUse());
    }
}
