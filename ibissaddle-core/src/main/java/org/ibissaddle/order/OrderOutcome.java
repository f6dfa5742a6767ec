package org.ibissaddle.order;

/** What an engine made of an order. */
public enum OrderOutcome {
    /** It took the order. */
    APPLIED,
    /** It has seen a higher token. */
    STALE_TOKEN,
    /** It could not be reached, or failed. */
    FAILED
}
