package org.ibissaddle.timeline;

import org.ibissaddle.id.InstanceId;

/** Events that are missing from the timeline. */
public sealed interface Gap {
    /**
     * Events that the ring buffer of a process has overwritten.
     *
     * @param origin the process
     * @param events number of missing events
     * @param before timestamp of the first retained event after them
     */
    record Overwritten(EventSource origin, long events, HybridTimestamp before) implements Gap {}

    /**
     * A process did not return its events.
     *
     * @param address its control address
     * @param cause the cause
     */
    record Unanswered(String address, String cause) implements Gap {}

    /**
     * An instance that events of others refer to, but that no events were received from.
     *
     * @param instance the instance
     */
    record Unheard(InstanceId instance) implements Gap {}

    /**
     * An earlier incarnation of an instance, whose events were lost when its process ended.
     *
     * @param origin the current incarnation
     * @param since when the current incarnation started
     */
    record EarlierLife(EventSource origin, HybridTimestamp since) implements Gap {}

    /**
     * Describes the gap.
     *
     * @return one sentence
     */
    default String description() {
        return switch (this) {
            case Overwritten gap ->
                gap.events() + " earlier events of " + gap.origin().instance() + " have been overwritten";
            case Unanswered gap -> "no events from " + gap.address() + ": " + gap.cause();
            case Unheard gap -> "no events from " + gap.instance() + ", which events of other instances refer to";
            case EarlierLife gap -> "events of " + gap.origin().instance() + " before its restart are lost";
        };
    }
}
