package org.ibissaddle.route;

/** What a quota counts. */
public enum QuotaUnit {
    /** Each request counts as one. */
    REQUESTS,
    /** A request counts as the sum of its prompt tokens and its maximum number of output tokens. */
    TOKENS
}
