package org.ibissaddle.outcome;

import java.util.Optional;

/** Whether a request was executed, as reported to its caller. */
public enum ExecutionStatus {
    /** Proven: no backend server executed it, and none will. */
    NOT_RUN("not-run"),
    /** It may have been executed, or may still be. */
    UNKNOWN("unknown"),
    /** It was executed. */
    RAN("ran");

    private final String wireName;

    ExecutionStatus(String wireName) {
        this.wireName = wireName;
    }

    /**
     * Returns the value used in headers and JSON.
     *
     * @return {@code not-run}, {@code unknown} or {@code ran}
     */
    public String wireName() {
        return wireName;
    }

    /**
     * Finds the constant for a value received in a header or in JSON.
     *
     * @param word the received value, possibly null
     * @return the constant, empty if the value is unknown
     */
    public static Optional<ExecutionStatus> of(String word) {
        for (ExecutionStatus status : values()) {
            if (status.wireName.equals(word)) {
                return Optional.of(status);
            }
        }
        return Optional.empty();
    }
}
