package org.ibissaddle.internal.placement;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.random.RandomGenerator;
import org.ibissaddle.fleet.InstanceView;
import org.ibissaddle.id.Region;
import org.ibissaddle.note.Link;
import org.ibissaddle.note.ReleaseNote;
import org.ibissaddle.note.SpillRules;
import org.ibissaddle.note.Weights;
import org.ibissaddle.note.Workspace;
import org.ibissaddle.placement.Binding;
import org.ibissaddle.placement.Work;

/** Decides whether and where unbound work is sent to another region, by the note's rules and weights. */
final class Spill {
    private static final double BYTES_PER_GIGABYTE = 1e9;
    private static final double TOKENS_PER_PRICE = 1e6;
    private static final double REFUSAL_TARGETS = 6;
    private static final double BUSY = 0.7;
    private static final double SPARE_HORIZON_S = 2;

    private final Map<Region, RemoteRegion> regions = new ConcurrentHashMap<>();

    /** What is to be gained or lost, all in units of the first-token target. */
    record Local(double firstTokenMs, boolean refused, double prefillMs, double tokens) {}

    RemoteRegion region(Region region) {
        RemoteRegion known = regions.get(region);
        return known != null ? known : regions.computeIfAbsent(region, r -> new RemoteRegion());
    }

    /** Whether work was sent anywhere lately. */
    boolean sending(long nowMs) {
        for (RemoteRegion region : regions.values()) {
            if (region.direction.sending(nowMs)) {
                return true;
            }
        }
        return false;
    }

    /** Finds the instance to send work to, when that is better than to serve or refuse it here. */
    Optional<InstanceView> target(
            Work work,
            ReleaseNote note,
            Snapshot snapshot,
            PoolState pool,
            Local local,
            long nowMs,
            RandomGenerator random) {
        SpillRules rules = note.spill();
        if (!rules.enabled() || !pool.maySendAway(rules.maxShare())) {
            return Optional.empty();
        }
        boolean loaded =
                pool.spilling(rules.startAbove(), rules.stopBelow()) && pool.load() >= bound(rules, work.priority());
        if (!loaded && !local.refused) {
            return Optional.empty();
        }
        Region here = snapshot.fleet.self().region();
        InstanceView best = null;
        double bestGain = 0;
        for (Map.Entry<Region, List<InstanceView>> entry : snapshot.remote.entrySet()) {
            Region there = entry.getKey();
            if (!Binding.mayForward(work.workspace().id(), there, work.visited(), note, here)) {
                continue;
            }
            InstanceView peer = draw(entry.getValue(), random);
            double gain = open(there, peer, rules, nowMs) ? gain(work, note, here, peer, local, nowMs) : 0;
            if (gain > bestGain) {
                best = peer;
                bestGain = gain;
            }
        }
        boolean taken = best != null && region(best.region()).direction.trySend(nowMs);
        return taken ? Optional.of(best) : Optional.empty();
    }

    /** Bytes that a forwarded request moves over the link, both ways. */
    static double bytes(Work work, double outputTokens) {
        return work.promptTokens() * Costs.BYTES_PER_TOKEN + outputTokens * Costs.BYTES_PER_STREAMED_TOKEN;
    }

    /** Bytes per second that forwarded work may use of a link. */
    static double linkRate(ReleaseNote note, Region here, Region there) {
        return note.link(here, there)
                .map(link -> link.bytesPerSecond() * note.spill().linkShare())
                .orElse(0.0);
    }

    private static double bound(SpillRules rules, int priority) {
        double span = Math.max(rules.startAbove() - rules.stopBelow(), 0);
        return rules.stopBelow() + span * 2 * priority / Workspace.MAX_PRIORITY;
    }

    private boolean open(Region there, InstanceView peer, SpillRules rules, long nowMs) {
        RemoteRegion region = region(there);
        double busy = Math.min(BUSY, rules.startAbove());
        return peer.load() < busy
                && region.outstandingTokens.get() < peer.spare() * SPARE_HORIZON_S
                && !region.refusedLately(nowMs)
                && !region.direction.accepting(nowMs);
    }

    private double gain(Work work, ReleaseNote note, Region here, InstanceView peer, Local local, long nowMs) {
        Optional<Link> link = note.link(here, peer.region());
        if (link.isEmpty()) {
            return 0;
        }
        double bytes = bytes(work, local.tokens);
        double rate = linkRate(note, here, peer.region());
        RemoteRegion region = region(peer.region());
        if (!region.link.fits(bytes, rate, nowMs)) {
            return 0;
        }
        Weights weights = note.weights();
        double target = Math.max(1, weights.firstTokenTargetMs());
        double promptMs = work.promptTokens() * Costs.BYTES_PER_TOKEN / rate * Costs.MS_PER_SECOND;
        double remoteMs = peer.load() * target + local.prefillMs + link.get().roundTripMs() + promptMs;
        if (nowMs + remoteMs > work.deadlineMs()) {
            return 0;
        }
        double localMs = local.refused ? Math.max(local.firstTokenMs, REFUSAL_TARGETS * target) : local.firstTokenMs;
        double faster = Math.min(localMs, 2 * REFUSAL_TARGETS * target) - remoteMs;
        double extra = extraCost(work, note, link.get(), bytes, local);
        return weights.tail() * faster / target - weights.cost() * extra - weights.sentAway();
    }

    /** Cost of serving remotely beyond that of serving here, relative to the latter. */
    private static double extraCost(Work work, ReleaseNote note, Link link, double bytes, Local local) {
        double price = Optional.ofNullable(note.pools().get(work.pool()))
                .map(pool -> pool.pricePerMillionTokens())
                .orElse(0.0);
        double serving = (work.promptTokens() * Costs.PREFILL + local.tokens) * price / TOKENS_PER_PRICE;
        double sending = bytes * link.pricePerGigabyte() / BYTES_PER_GIGABYTE;
        double cold = local.refused ? 0 : work.promptTokens() * Costs.PREFILL * price / TOKENS_PER_PRICE;
        return serving <= 0 ? 0 : (sending + cold) / serving;
    }

    private static InstanceView draw(List<InstanceView> peers, RandomGenerator random) {
        InstanceView a = peers.get(random.nextInt(peers.size()));
        InstanceView b = peers.get(random.nextInt(peers.size()));
        return a.load() <= b.load() ? a : b;
    }
}
