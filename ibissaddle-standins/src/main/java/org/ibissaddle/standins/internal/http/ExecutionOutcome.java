package org.ibissaddle.standins.internal.http;

import com.fasterxml.jackson.annotation.JsonValue;

/** Whether a rejected request was executed. */
public enum ExecutionOutcome {
    /** The request was not executed and may be sent to another server. */
    NOT_RUN("not-run"),
    /** It is unknown whether the request was executed. */
    UNKNOWN("unknown"),
    /** The request was executed. */
    RAN("ran");

    private final String wireName;

    ExecutionOutcome(String wireName) {
        this.wireName = wireName;
    }

    /** Returns the value used in headers and JSON bodies. */
    @JsonValue
    public String wireName() {
        return wireName;
    }
}
