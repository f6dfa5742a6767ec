package org.ibissaddle.outcome;

import java.util.List;
import java.util.OptionalLong;
import org.ibissaddle.id.Address;

/**
 * Typed error response for a request that was rejected or failed.
 *
 * @param type the error type
 * @param message what happened, naming the object concerned; never contains request content
 * @param executionStatus whether the request was executed
 * @param retryAtMs earliest time at which a retry may succeed, epoch milliseconds; empty if waiting alone does not help
 * @param instances caller-facing addresses of instances to use instead
 */
public record Refusal(
        RefusalType type,
        String message,
        ExecutionStatus executionStatus,
        OptionalLong retryAtMs,
        List<Address> instances) {
    /** Copies the list of instances. */
    public Refusal {
        instances = List.copyOf(instances);
    }

    /**
     * Creates a refusal without a retry time or alternative instances.
     *
     * @param type the error type
     * @param message what happened
     * @param executionStatus whether the request was executed
     * @return the refusal
     */
    public static Refusal of(RefusalType type, String message, ExecutionStatus executionStatus) {
        return new Refusal(type, message, executionStatus, OptionalLong.empty(), List.of());
    }

    /**
     * Returns a copy with the given retry time.
     *
     * @param atMs earliest time of a retry, epoch milliseconds
     * @return the copy
     */
    public Refusal withRetryAt(long atMs) {
        return new Refusal(type, message, executionStatus, OptionalLong.of(atMs), instances);
    }

    /**
     * Returns a copy that lists instances to use instead.
     *
     * @param others caller-facing addresses
     * @return the copy
     */
    public Refusal withInstances(List<Address> others) {
        return new Refusal(type, message, executionStatus, retryAtMs, others);
    }

    /**
     * Returns a copy with a different execution status, for a context that knows more or less about the execution.
     *
     * @param other the execution status to report
     * @return the copy
     */
    public Refusal withExecutionStatus(ExecutionStatus other) {
        return new Refusal(type, message, other, retryAtMs, instances);
    }
}
