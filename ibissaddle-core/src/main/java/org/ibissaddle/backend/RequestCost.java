package org.ibissaddle.backend;

/**
 * Estimated cost of a request, used alike to order the queue, to choose a server and to decide what is still worth
 * waiting. Both figures of a plain service are 0.
 *
 * @param prefillTokens prompt tokens that have to be prefilled on the server that has cached most of the prompt
 * @param prefillUncertainty tokens that may have to be prefilled in addition, if they are no longer cached
 * @param outputTokens expected number of output tokens
 * @param outputUncertainty number of output tokens by which the response may be longer or shorter
 */
public record RequestCost(int prefillTokens, int prefillUncertainty, int outputTokens, int outputUncertainty) {
    /** Share of the cached tokens that may have been evicted: caches are known from reports that are seconds old. */
    private static final double EVICTED_SHARE = 0.1;

    /**
     * Estimates the cost of a request. The output tokens of the request are the maximum that its caller allows.
     *
     * @param demand the request
     * @param cachedTokens tokens of the prompt that are cached at one server
     * @return the cost
     */
    public static RequestCost of(RequestDemand demand, int cachedTokens) {
        return new RequestCost(
                Math.max(0, demand.promptTokens() - cachedTokens),
                (int) (Math.min(demand.promptTokens(), cachedTokens) * EVICTED_SHARE),
                demand.outputTokens(),
                demand.outputTokens() / 2);
    }

    /**
     * Returns the number of tokens to prefill if the estimate is wrong by its uncertainty.
     *
     * @return tokens
     */
    public int maxPrefillTokens() {
        return prefillTokens + prefillUncertainty;
    }

    /**
     * Returns the number of output tokens if the response is as short as the uncertainty allows.
     *
     * @return tokens
     */
    public int minOutputTokens() {
        return outputTokens - outputUncertainty;
    }
}
