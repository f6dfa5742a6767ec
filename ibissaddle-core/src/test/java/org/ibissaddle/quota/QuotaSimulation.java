package org.ibissaddle.quota;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.ToDoubleBiFunction;
import org.ibissaddle.id.InstanceId;
import org.ibissaddle.id.Region;
import org.ibissaddle.id.WorkspaceId;
import org.ibissaddle.route.Quota;
import org.ibissaddle.route.QuotaUnit;

/** Instances that share the quota of one workspace, with messages that are delayed, lost or blocked by partitions. */
final class QuotaSimulation {
    static final WorkspaceId WORKSPACE = new WorkspaceId("w");
    private static final long TICK_MS = 5;
    private static final long GOSSIP_MS = 500;
    private static final long GOSSIP_TIMEOUT_MS = 800;
    private static final long LEASE_TIMEOUT_MS = 500;
    private static final long DISCOVERY_MS = 3_000;
    private static final long KNOWN_MS = 60_000;
    private static final int REGIONS = 3;
    private static final long CONFIG_APPLY_MS = 5_000;

    final SplittableRandom random;
    final List<Node> nodes = new ArrayList<>();
    final List<Arrival> arrivals = new ArrayList<>();
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final QuotaBounds bounds;
    private Quota quota;
    private Quota inForce;
    private long limitFromMs;
    private double worstOfEarlierLimits;
    private long seq;
    long nowMs = 1_000_000;
    double lossRate;
    double slowRate;
    long slowMs = 700;
    long queueMs = 500;
    double meanCost = 17_000;
    double maxCost = 93_000;
    double waitMs;
    Links links = (from, to) -> true;
    double offered;
    double admitted;
    long requests;
    long rejections;
    long waits;
    long messages;

    /** Whether a message from one instance reaches another. */
    interface Links {
        boolean reach(int from, int to);
    }

    record Arrival(long atMs, double cost) {}

    record Call(Node node, long cost, long arrivedMs) {}

    private record Event(long atMs, long seq, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int byTime = Long.compare(atMs, other.atMs);
            return byTime != 0 ? byTime : Long.compare(seq, other.seq);
        }
    }

    final class Node {
        final int index;
        final InstanceId id;
        final Region region;
        boolean up = true;
        private long startedMs;
        private QuotaIssuer issuer;
        private QuotaLeases<Call> leases;
        private Map<Integer, Long> heardMs = new HashMap<>();
        private Map<Integer, Integer> reportedSizes = new HashMap<>();
        private Quota knownQuota;

        Node(int index) {
            this.index = index;
            this.id = new InstanceId("i" + index);
            this.region = new Region("r" + index % REGIONS);
            restart();
        }

        void restart() {
            up = true;
            startedMs = nowMs;
            heardMs = new HashMap<>();
            reportedSizes = new HashMap<>();
            issuer = new QuotaIssuer(id, bounds, nowMs);
            leases = new QuotaLeases<>(id, bounds, random.split());
            knownQuota = quota;
        }

        private void apply(Quota published) {
            if (published.perSecond() < knownQuota.perSecond()) {
                knownQuota = published;
            }
        }

        void kill() {
            up = false;
        }

        boolean isIssuer() {
            return issuer.issuerOf(WORKSPACE).equals(id);
        }

        private void gossip() {
            if (!up) {
                return;
            }
            for (Node other : nodes) {
                if (other == this) {
                    continue;
                }
                long sentMs = nowMs;
                boolean[] answered = new boolean[1];
                deliver(this, other, () -> {
                    other.hear(this);
                    deliver(other, this, () -> {
                        answered[0] = nowMs - sentMs < GOSSIP_TIMEOUT_MS;
                        hear(other);
                    });
                });
                at(nowMs + GOSSIP_TIMEOUT_MS, () -> issuer.recordContact(other.id, other.region, answered[0], nowMs));
            }
            observe();
        }

        private void hear(Node other) {
            heardMs.put(other.index, nowMs);
            reportedSizes.put(other.index, other.heardMs.size() + 1);
        }

        private int size() {
            heardMs.values().removeIf(atMs -> nowMs - atMs > KNOWN_MS);
            reportedSizes.keySet().retainAll(heardMs.keySet());
            int reported = reportedSizes.values().stream()
                    .mapToInt(Integer::intValue)
                    .max()
                    .orElse(0);
            return Math.max(reported, heardMs.size() + 1);
        }

        private void observe() {
            Map<InstanceId, Region> running = new HashMap<>();
            heardMs.forEach((other, atMs) -> {
                if (nowMs - atMs <= DISCOVERY_MS) {
                    running.put(nodes.get(other).id, nodes.get(other).region);
                }
            });
            boolean discovering = nowMs - startedMs < DISCOVERY_MS || heardMs.isEmpty();
            issuer.observe(running, discovering ? OptionalInt.empty() : OptionalInt.of(size()), nowMs);
        }

        private int instances() {
            boolean discovering = nowMs - startedMs < DISCOVERY_MS || heardMs.isEmpty();
            return discovering ? Math.max(QuotaLeases.MIN_INSTANCES_AT_START, size()) : size();
        }

        private void arrive(long cost) {
            requests++;
            offered += cost;
            Call call = new Call(this, cost, nowMs);
            apply(call, leases.request(call, WORKSPACE, knownQuota, cost, nowMs + 300, instances(), nowMs));
        }

        private void work() {
            for (LeaseBatch batch : leases.takeDue(issuer::issuerOf, nowMs)) {
                ask(batch);
            }
            settle(leases.settleExpired(nowMs));
        }

        private void ask(LeaseBatch batch) {
            Node to = nodes.stream()
                    .filter(node -> node.id.equals(batch.issuer()))
                    .findFirst()
                    .orElseThrow();
            long sentMs = nowMs;
            QuotaLeases<Call> asking = leases;
            if (to == this) {
                settle(leases.onAnswers(id, to.answers(id, batch), nowMs, nowMs));
                return;
            }
            messages++;
            boolean[] done = new boolean[1];
            deliver(this, to, () -> {
                List<LeaseAnswer> answers = to.answers(id, batch);
                deliver(to, this, () -> {
                    if (!done[0] && asking == leases) {
                        done[0] = true;
                        settle(leases.onAnswers(to.id, answers, sentMs, nowMs));
                    }
                });
            });
            at(nowMs + LEASE_TIMEOUT_MS, () -> {
                if (!done[0] && asking == leases) {
                    done[0] = true;
                    settle(leases.onFailure(batch, nowMs));
                }
            });
        }

        private List<LeaseAnswer> answers(InstanceId from, LeaseBatch batch) {
            return batch.requests().stream()
                    .map(request -> issuer.answer(from, request, Optional.of(knownQuota), nowMs))
                    .toList();
        }

        private void settle(List<Settled<Call>> settled) {
            settled.forEach(one -> waitMs += nowMs - one.request().arrivedMs());
            settled.forEach(one -> apply(one.request(), one.decision()));
        }

        private void apply(Call call, QuotaDecision decision) {
            switch (decision) {
                case QuotaDecision.Admitted a -> {
                    admitted += call.cost();
                    arrivals.add(new Arrival(nowMs + random.nextLong(queueMs + 1), call.cost()));
                }
                case QuotaDecision.Rejected r -> rejections++;
                case QuotaDecision.Wait w -> waits++;
            }
        }
    }

    QuotaSimulation(long seed, int instances, QuotaBounds bounds, long perSecond, long burst) {
        this.random = new SplittableRandom(seed);
        this.bounds = bounds;
        this.quota = new Quota(QuotaUnit.TOKENS, perSecond, burst, 200);
        this.inForce = quota;
        for (int i = 0; i < instances; i++) {
            nodes.add(new Node(i));
        }
        for (Node node : nodes) {
            every(node, random.nextLong(GOSSIP_MS));
        }
    }

    private void every(Node node, long delayMs) {
        at(nowMs + delayMs, () -> {
            node.gossip();
            every(node, GOSSIP_MS);
        });
    }

    void at(long atMs, Runnable action) {
        events.add(new Event(atMs, seq++, action));
    }

    private void deliver(Node from, Node to, Runnable action) {
        if (!from.up || !links.reach(from.index, to.index) || random.nextDouble() < lossRate) {
            return;
        }
        long delayMs = from.region.equals(to.region) ? 1 + random.nextLong(2) : 55;
        long extraMs = random.nextDouble() < slowRate ? random.nextLong(slowMs) : 0;
        long startedMs = to.startedMs;
        at(nowMs + delayMs + extraMs, () -> {
            if (to.up && to.startedMs == startedMs) {
                action.run();
            }
        });
    }

    Node issuer() {
        return nodes.stream()
                .filter(node -> node.up && node.isIssuer())
                .findFirst()
                .orElseThrow();
    }

    long perSecond() {
        return quota.perSecond();
    }

    /** Publishes a lower limit, which the instances apply one after the other within a period. */
    void publish(long perSecond, long burst, long withinMs) {
        quota = new Quota(QuotaUnit.TOKENS, perSecond, burst, 200);
        Quota published = quota;
        at(nowMs + CONFIG_APPLY_MS, () -> {
            worstOfEarlierLimits = worstWindow(bounds.limit(inForce));
            limitFromMs = nowMs;
            inForce = published;
        });
        for (Node node : nodes) {
            at(nowMs + random.nextLong(withinMs), () -> node.apply(published));
        }
    }

    /** Runs with a demand in tokens per second of each instance. */
    void run(long durationMs, ToDoubleBiFunction<Integer, Long> demand) {
        long startMs = nowMs;
        while (nowMs < startMs + durationMs) {
            while (!events.isEmpty() && events.peek().atMs() <= nowMs) {
                events.poll().action().run();
            }
            for (Node node : nodes) {
                if (!node.up) {
                    continue;
                }
                double expected = demand.applyAsDouble(node.index, nowMs - startMs) / meanCost * TICK_MS / 1_000;
                for (double left = expected - random.nextDouble(); left > 0; left--) {
                    node.arrive(cost());
                }
                node.work();
            }
            nowMs += TICK_MS;
        }
    }

    /** Costs between 1/17 of the mean and the maximum, most of them below the mean. */
    private long cost() {
        double least = meanCost / 17;
        return (long) Math.clamp(least - (meanCost - least) * Math.log(1 - random.nextDouble()), 1, maxCost);
    }

    void resetCounts() {
        offered = 0;
        admitted = 0;
        requests = 0;
        rejections = 0;
        waits = 0;
        messages = 0;
    }

    /** Returns the highest cost that arrived at servers in a window, as a fraction of the bound. */
    double worstWindow() {
        return Math.max(worstOfEarlierLimits, worstWindow(bounds.limit(inForce)));
    }

    private double worstWindow(double limit) {
        List<Arrival> sorted = arrivals.stream()
                .filter(arrival -> arrival.atMs() >= limitFromMs)
                .sorted(java.util.Comparator.comparingLong(Arrival::atMs))
                .toList();
        double sum = 0;
        double worst = 0;
        int first = 0;
        for (Arrival arrival : sorted) {
            sum += arrival.cost();
            while (sorted.get(first).atMs() <= arrival.atMs() - bounds.windowMs()) {
                sum -= sorted.get(first++).cost();
            }
            worst = Math.max(worst, sum);
        }
        return worst / limit;
    }

    @Override
    public String toString() {
        return "worst window %.2f of the bound, admitted %.0f of %.0f tokens, %d of %d requests rejected, %d waits, %d messages"
                .formatted(worstWindow(), admitted, offered, rejections, requests, waits, messages);
    }
}
