package org.ibissaddle.placement;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.ibissaddle.id.ModelId;
import org.ibissaddle.id.PoolId;
import org.ibissaddle.id.Region;
import org.ibissaddle.id.RequestId;
import org.ibissaddle.id.ServerId;
import org.ibissaddle.note.Workspace;

/**
 * Attributes of a request that a placement decision depends on.
 *
 * @param request id of the request
 * @param workspace workspace of the request
 * @param pool pool that must serve the request
 * @param model model version, empty for services without a model
 * @param priority from 0, lowest, to 9, highest
 * @param deadlineMs deadline of the caller, epoch milliseconds
 * @param promptTokens estimated number of prompt tokens
 * @param maxTokens maximum number of tokens to generate
 * @param prefix hash chain of the prompt's blocks, starting with the first block; empty for services without a model
 * @param excludedServers servers that are excluded because they were tried before
 * @param forwardedBy regions that forwarded the request, in order; empty when it came directly from its caller
 */
public record PlacementRequest(
        RequestId request,
        Workspace workspace,
        PoolId pool,
        Optional<ModelId> model,
        int priority,
        long deadlineMs,
        int promptTokens,
        int maxTokens,
        List<Long> prefix,
        Set<ServerId> excludedServers,
        List<Region> forwardedBy) {
    /** Makes defensive copies of the collections. */
    public PlacementRequest {
        prefix = List.copyOf(prefix);
        excludedServers = Set.copyOf(excludedServers);
        forwardedBy = List.copyOf(forwardedBy);
    }

    /**
     * Returns whether another instance forwarded the request. Such a request is served or refused, never forwarded
     * again.
     *
     * @return whether the request was forwarded
     */
    public boolean forwarded() {
        return !forwardedBy.isEmpty();
    }

    /**
     * Returns a copy that also excludes a server, typically after an attempt on it failed.
     *
     * @param server the server to exclude
     * @return the copy
     */
    public PlacementRequest excluding(ServerId server) {
        Set<ServerId> excluded = new HashSet<>(excludedServers);
        excluded.add(server);
        return withExcludedServers(excluded);
    }

    /**
     * Returns a copy that excludes exactly the given servers.
     *
     * @param servers the servers to exclude
     * @return the copy
     */
    public PlacementRequest withExcludedServers(Set<ServerId> servers) {
        return new PlacementRequest(
                request,
                workspace,
                pool,
                model,
                priority,
                deadlineMs,
                promptTokens,
                maxTokens,
                prefix,
                servers,
                forwardedBy);
    }
}
