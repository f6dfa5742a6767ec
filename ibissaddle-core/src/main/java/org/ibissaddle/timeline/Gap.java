package org.ibissaddle.timeline;

import org.ibissaddle.id.InstanceId;

/** Events that the time line lacks. */
public sealed interface Gap {
    /**
     * Events of a process that its ring no longer holds.
     *
     * @param origin the process
     * @param events how many are missing
     * @param before the first stamp known after them
     */
    record Overwritten(Origin origin, long events, Stamp before) implements Gap {}

    /**
     * A process that was asked gave no answer.
     *
     * @param address its control address
     * @param cause why
     */
    record Unanswered(String address, String cause) implements Gap {}

    /**
     * An instance that others name, of which there is no event.
     *
     * @param instance its name
     */
    record Unheard(InstanceId instance) implements Gap {}

    /**
     * An earlier life of an instance: its events went with it.
     *
     * @param origin the present life
     * @param since when the present life began
     */
    record EarlierLife(Origin origin, Stamp since) implements Gap {}

    /**
     * Describes the gap.
     *
     * @return one sentence
     */
    default String text() {
        return switch (this) {
            case Overwritten gap ->
                gap.events() + " earlier events of " + gap.origin().instance() + " are no longer held";
            case Unanswered gap -> "no events from " + gap.address() + ": " + gap.cause();
            case Unheard gap -> "others name " + gap.instance() + ", but none of its events are known";
            case EarlierLife gap ->
                "events of " + gap.origin().instance() + " before its start are lost with its earlier life";
        };
    }
}
