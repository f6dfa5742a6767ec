package org.ibissaddle.standins.internal.http;

import com.fasterxml.jackson.annotation.JsonValue;

/** Says whether a refused request was run. */
public enum Ran {
    /** The request was not run and may be sent elsewhere. */
    NOT_RUN("not-run"),
    /** Nobody knows whether the request was run. */
    UNKNOWN("unknown"),
    /** The request was run. */
    RAN("ran");

    private final String word;

    Ran(String word) {
        this.word = word;
    }

    /** The word used in headers and bodies. */
    @JsonValue
    public String word() {
        return word;
    }
}
