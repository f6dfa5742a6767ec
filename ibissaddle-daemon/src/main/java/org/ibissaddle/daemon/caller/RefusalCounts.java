package org.ibissaddle.daemon.caller;

import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;
import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.ibissaddle.outcome.Refusal;
import org.ibissaddle.outcome.RefusalType;

/** Counts refusals by type and keeps the last message of each type. */
public final class RefusalCounts {
    private final MetricRegistry metrics;
    private final Map<RefusalType, String> lastMessages = new ConcurrentHashMap<>();

    /**
     * Creates the counters of an instance.
     *
     * @param metrics registry of the meters, which are named {@code refused.<type>}
     */
    public RefusalCounts(MetricRegistry metrics) {
        this.metrics = metrics;
    }

    /**
     * Counts a refusal.
     *
     * @param refusal the refusal sent to the client
     */
    public void count(Refusal refusal) {
        metrics.meter("refused." + refusal.type().wireName()).mark();
        lastMessages.put(refusal.type(), refusal.message());
    }

    /**
     * Returns the meters of all types counted so far.
     *
     * @return meters by type
     */
    public Map<RefusalType, Meter> meters() {
        Map<RefusalType, Meter> meters = new EnumMap<>(RefusalType.class);
        lastMessages.keySet().forEach(type -> meters.put(type, metrics.meter("refused." + type.wireName())));
        return meters;
    }

    /**
     * Returns the message of the last refusal of a type.
     *
     * @param type type of the refusals
     * @return the last message, or empty if no refusal of the type was counted
     */
    public Optional<String> lastMessage(RefusalType type) {
        return Optional.ofNullable(lastMessages.get(type));
    }
}
