package org.ibissaddle.outcome;

import java.util.List;
import java.util.OptionalLong;
import org.ibissaddle.id.Address;

/**
 * A typed answer to a caller whose request was refused or failed.
 *
 * @param type why
 * @param message what happened, naming the thing; never holds content of the request
 * @param fate whether the request ran
 * @param retryAtMs when a retry may succeed, epoch milliseconds; empty when time alone will not help
 * @param instances instances to use instead, caller addresses
 */
public record Refusal(RefusalType type, String message, Fate fate, OptionalLong retryAtMs, List<Address> instances) {
    /** Copies the instances. */
    public Refusal {
        instances = List.copyOf(instances);
    }

    /**
     * A refusal without retry time or other instances.
     *
     * @param type why
     * @param message what happened
     * @param fate whether the request ran
     * @return the refusal
     */
    public static Refusal of(RefusalType type, String message, Fate fate) {
        return new Refusal(type, message, fate, OptionalLong.empty(), List.of());
    }

    /**
     * The same refusal with a time for the next try.
     *
     * @param atMs epoch milliseconds
     * @return the refusal with that time
     */
    public Refusal retryAt(long atMs) {
        return new Refusal(type, message, fate, OptionalLong.of(atMs), instances);
    }

    /**
     * The same refusal naming instances to use instead.
     *
     * @param others caller addresses
     * @return the refusal with those instances
     */
    public Refusal use(List<Address> others) {
        return new Refusal(type, message, fate, retryAtMs, others);
    }

    /**
     * The same refusal with another fate, for a caller to whom less or more is known.
     *
     * @param other the fate to tell
     * @return the refusal with that fate
     */
    public Refusal withFate(Fate other) {
        return new Refusal(type, message, other, retryAtMs, instances);
    }
}
