package org.ibissaddle.daemon.caller;

import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;
import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.ibissaddle.outcome.Refusal;
import org.ibissaddle.outcome.RefusalType;

/** Counts refusals by their type, and keeps the last message of each. */
public final class RefusalCounts {
    private final MetricRegistry metrics;
    private final Map<RefusalType, String> messages = new ConcurrentHashMap<>();

    /**
     * Creates the counts of an instance.
     *
     * @param metrics where the meters go, as {@code refused.<type>}
     */
    public RefusalCounts(MetricRegistry metrics) {
        this.metrics = metrics;
    }

    /**
     * Counts a refusal.
     *
     * @param refusal what a caller was told
     */
    public void count(Refusal refusal) {
        metrics.meter("refused." + refusal.type().word()).mark();
        messages.put(refusal.type(), refusal.message());
    }

    /**
     * Returns the meters of the types that were counted.
     *
     * @return meters by type
     */
    public Map<RefusalType, Meter> meters() {
        Map<RefusalType, Meter> meters = new EnumMap<>(RefusalType.class);
        messages.keySet().forEach(type -> meters.put(type, metrics.meter("refused." + type.word())));
        return meters;
    }

    /**
     * Returns the last message of a type.
     *
     * @param type the type
     * @return its last message, empty when none was counted
     */
    public Optional<String> lastMessage(RefusalType type) {
        return Optional.ofNullable(messages.get(type));
    }
}
