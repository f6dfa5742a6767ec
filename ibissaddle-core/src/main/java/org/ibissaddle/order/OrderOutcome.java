package org.ibissaddle.order;

/** The result of sending an order to an engine. */
public enum OrderOutcome {
    /** The engine accepted the order. */
    APPLIED,
    /** The engine rejected the order because it has seen a higher fencing token. */
    STALE_TOKEN,
    /** The engine could not be reached or returned an error. */
    FAILED
}
