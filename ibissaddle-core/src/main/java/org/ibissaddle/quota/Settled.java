package org.ibissaddle.quota;

/**
 * End of the wait of a request.
 *
 * @param <T> type of the requests
 * @param request the request
 * @param decision admitted or rejected
 */
public record Settled<T>(T request, QuotaDecision decision) {}
