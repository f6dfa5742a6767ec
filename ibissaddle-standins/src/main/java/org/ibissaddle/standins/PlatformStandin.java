package org.ibissaddle.standins;

import io.netty.channel.EventLoopGroup;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.ibissaddle.standins.internal.JsonCodec;
import org.ibissaddle.standins.internal.LaggedHistory;
import org.ibissaddle.standins.internal.http.ExecutionOutcome;
import org.ibissaddle.standins.internal.http.HttpExchange;
import org.ibissaddle.standins.internal.http.Reply;
import org.ibissaddle.standins.internal.http.RequestRejectedException;
import org.ibissaddle.standins.internal.platform.ConfigStore;
import org.ibissaddle.standins.internal.platform.InstanceList;
import org.ibissaddle.standins.internal.platform.ReadBudget;
import org.ibissaddle.standins.internal.platform.ReadMeter;
import org.ibissaddle.standins.internal.platform.WeightServer;

/**
 * Stand-in for the platform: configuration values that can be read and watched, the instance list, the directory and
 * the weight store. Reads of configuration, instance list and directory share one read budget; the read statistics
 * include rejected reads.
 */
public final class PlatformStandin extends HttpStandin {
    /** The largest configuration value in bytes. */
    public static final int MAX_VALUE_BYTES = 1_000_000;

    private static final String REVISION_HEADER = "X-Revision";

    private final PlatformOptions options;
    private final ConfigStore config = new ConfigStore();
    private final List<Watch> watches = new ArrayList<>();
    private final TreeMap<String, InstanceEntry> entries = new TreeMap<>();
    private final LaggedHistory<InstanceList> instances;
    private final WeightServer weights;
    private final ReadBudget readBudget = new ReadBudget();
    private final ReadMeter readMeter = new ReadMeter();
    private final Map<String, Integer> reads = new TreeMap<>();
    private PlatformFaults faults = PlatformFaults.none();
    private long instanceListRevision;
    private long refusedReads;

    /** Creates a platform; {@link #start()} opens its port. */
    public PlatformStandin(PlatformOptions options, EventLoopGroup group) {
        super(options.name(), options.port(), group);
        this.options = options;
        this.instances = new LaggedHistory<>(options.instanceLagMs());
        this.weights = new WeightServer(loop(), () -> faults.weightBytesPerSecond());
        recordInstances();
    }

    /** Publishes a configuration value and returns its revision. */
    public long putConfig(String name, byte[] value) {
        return onLoop(() -> publish(name, value));
    }

    /** Adds or replaces an entry of the instance list. */
    public void putInstance(InstanceEntry entry) {
        onLoop(() -> {
            entries.put(entry.name(), entry);
            return recordInstances();
        });
    }

    /** Removes an entry of the instance list. */
    public void removeInstance(String name) {
        onLoop(() -> {
            entries.remove(name);
            return recordInstances();
        });
    }

    /** Publishes the weights of a model version with the given size. */
    public void putWeights(String model, String version, long bytes) {
        onLoop(() -> {
            weights.publish(model + "/" + version, bytes);
            return true;
        });
    }

    /** Replaces the active limits and faults. */
    public void setFaults(PlatformFaults next) {
        onLoop(() -> applyFaults(next));
    }

    /** Returns the active limits and faults. */
    public PlatformFaults faults() {
        return onLoop(() -> faults);
    }

    /** Returns the read and download counts. */
    public PlatformStats stats() {
        return onLoop(this::snapshot);
    }

    @Override
    protected void handle(HttpExchange exchange) throws RequestRejectedException {
        List<String> path = exchange.segments();
        switch (path.getFirst()) {
            case "control" -> {
                applyFaults(JsonCodec.merge(faults, exchange.body(), PlatformFaults.class));
                exchange.reply(Reply.json(200, faults));
            }
            case "stats" -> exchange.reply(Reply.json(200, snapshot()));
            default -> handleUnlessOutage(exchange, path);
        }
    }

    private void handleUnlessOutage(HttpExchange exchange, List<String> path) throws RequestRejectedException {
        switch (faults.outage()) {
            case RESET -> exchange.reset();
            case UNAVAILABLE ->
                throw new RequestRejectedException(
                        503, "outage", ExecutionOutcome.NOT_RUN, "platform \"" + options.name() + "\" is unavailable");
            case NONE -> dispatchByPath(exchange, path);
            default -> throw new IllegalStateException("unsupported outage " + faults.outage());
        }
    }

    private void dispatchByPath(HttpExchange exchange, List<String> path) throws RequestRejectedException {
        String kind = path.getFirst();
        boolean write = !exchange.method().equals("GET");
        if (kind.equals("config") && path.size() == 2) {
            handleConfig(exchange, path.get(1), write);
        } else if (kind.equals("instances") && path.size() == 2 && write) {
            handleInstanceChange(exchange, path.get(1));
        } else if (kind.equals("instances") && path.size() == 1) {
            countRead("/instances");
            exchange.reply(Reply.json(200, visibleInstances()));
        } else if (kind.equals("directory")) {
            countRead("/directory");
            exchange.reply(Reply.json(200, visibleInstances().directory()));
        } else if (kind.equals("weights") && path.size() == 3) {
            handleWeights(exchange, path.get(1) + "/" + path.get(2), write);
        } else {
            throw RequestRejectedException.notFound(
                    "endpoint \"" + exchange.method() + " " + exchange.path() + "\" does not exist");
        }
    }

    private void handleConfig(HttpExchange exchange, String name, boolean write) throws RequestRejectedException {
        if (write) {
            handlePublish(exchange, name);
            return;
        }
        countRead(name);
        Optional<Long> after = exchange.queryNumber("after");
        if (after.isPresent()) {
            watch(exchange, name, after.get());
            return;
        }
        exchange.reply(visibleVersion(name)
                .map(PlatformStandin::valueReply)
                .orElseThrow(() ->
                        RequestRejectedException.notFound("configuration value \"" + name + "\" does not exist")));
    }

    private void handlePublish(HttpExchange exchange, String name) throws RequestRejectedException {
        if (exchange.body().length > MAX_VALUE_BYTES) {
            throw new RequestRejectedException(
                    413,
                    "value-too-large",
                    ExecutionOutcome.NOT_RUN,
                    "configuration value \"" + name + "\" is larger than " + MAX_VALUE_BYTES + " bytes");
        }
        exchange.reply(Reply.json(200, new Published(publish(name, exchange.body()))));
    }

    private long publish(String name, byte[] value) {
        long revision = config.put(name, value, System.currentTimeMillis());
        schedule(faults.stalenessMs(), this::answerWatches);
        return revision;
    }

    private void watch(HttpExchange exchange, String name, long after) throws RequestRejectedException {
        Watch watch = new Watch(exchange, name, after);
        if (answerIfNewer(watch)) {
            return;
        }
        watches.add(watch);
        exchange.onClose(() -> watches.remove(watch));
        schedule(exchange.queryNumber("wait_ms").orElse(0L), () -> expireWatch(watch));
    }

    private void expireWatch(Watch watch) {
        if (watches.remove(watch)) {
            watch.exchange().reply(Reply.empty(304));
        }
    }

    private void answerWatches() {
        watches.removeIf(this::answerIfNewer);
    }

    private boolean answerIfNewer(Watch watch) {
        Optional<ConfigStore.Version> newer =
                visibleVersion(watch.name()).filter(version -> version.revision() > watch.after());
        newer.ifPresent(version -> watch.exchange().reply(valueReply(version)));
        return newer.isPresent();
    }

    private Optional<ConfigStore.Version> visibleVersion(String name) {
        return config.findVersion(name, System.currentTimeMillis() - faults.stalenessMs(), faults.maxRevision());
    }

    private static Reply valueReply(ConfigStore.Version version) {
        return Reply.bytes(200, version.value()).withHeader(REVISION_HEADER, Long.toString(version.revision()));
    }

    private void handleInstanceChange(HttpExchange exchange, String name) throws RequestRejectedException {
        if (exchange.method().equals("DELETE")) {
            entries.remove(name);
        } else {
            entries.put(name, JsonCodec.parse(exchange.body(), InstanceEntry.class));
        }
        exchange.reply(Reply.json(200, new Published(recordInstances())));
    }

    private long recordInstances() {
        instanceListRevision++;
        instances.record(System.currentTimeMillis(), InstanceList.of(instanceListRevision, entries));
        return instanceListRevision;
    }

    private InstanceList visibleInstances() {
        return instances
                .at(System.currentTimeMillis() - options.instanceLagMs())
                .orElseGet(() -> InstanceList.of(instanceListRevision, entries));
    }

    private void handleWeights(HttpExchange exchange, String key, boolean write) throws RequestRejectedException {
        if (write) {
            weights.publish(
                    key, JsonCodec.parse(exchange.body(), WeightSize.class).bytes());
            exchange.reply(Reply.empty(204));
            return;
        }
        long bytes = weights.size(key)
                .orElseThrow(() -> RequestRejectedException.notFound("weights \"" + key + "\" do not exist"));
        weights.send(key, bytes, exchange);
    }

    private void countRead(String name) throws RequestRejectedException {
        long now = System.nanoTime();
        readMeter.recordRead(now);
        reads.merge(name, 1, Integer::sum);
        if (!readBudget.tryConsume(now, faults.readsPerSecond())) {
            refusedReads++;
            throw new RequestRejectedException(
                    429,
                    "read-budget",
                    ExecutionOutcome.NOT_RUN,
                    "read budget of " + faults.readsPerSecond() + " reads per second is exhausted");
        }
    }

    private boolean applyFaults(PlatformFaults next) {
        faults = next;
        answerWatches();
        if (faults.outage() == PlatformFaults.Outage.RESET) {
            List<Watch> reset = List.copyOf(watches);
            watches.clear();
            reset.forEach(watch -> watch.exchange().reset());
        }
        return true;
    }

    private PlatformStats snapshot() {
        return new PlatformStats(
                readMeter.lastSecond(System.nanoTime()),
                readMeter.max(),
                refusedReads,
                Map.copyOf(reads),
                weights.downloads());
    }

    private record Watch(HttpExchange exchange, String name, long after) {}

    private record Published(long revision) {}

    private record WeightSize(long bytes) {}
}
