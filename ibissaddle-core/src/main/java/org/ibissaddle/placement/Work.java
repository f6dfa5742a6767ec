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
 * What a decision needs to know of a request.
 *
 * @param request its name
 * @param workspace its workspace
 * @param pool the pool that must serve it
 * @param model the model version, empty for plain services
 * @param priority 0 lowest to 9 highest
 * @param deadlineMs when its caller gives up, epoch milliseconds
 * @param promptTokens estimated tokens of the prompt
 * @param maxTokens bound of the tokens to generate
 * @param prefix hash chain of the prompt's blocks, first block first; empty for plain services
 * @param tried servers that must not be tried again
 * @param visited regions that sent it on before, first one first; empty when it came from its caller
 */
public record Work(
        RequestId request,
        Workspace workspace,
        PoolId pool,
        Optional<ModelId> model,
        int priority,
        long deadlineMs,
        int promptTokens,
        int maxTokens,
        List<Long> prefix,
        Set<ServerId> tried,
        List<Region> visited) {
    /** Copies the collections. */
    public Work {
        prefix = List.copyOf(prefix);
        tried = Set.copyOf(tried);
        visited = List.copyOf(visited);
    }

    /**
     * Tells whether another instance sent it here; it is then served or refused, never sent on.
     *
     * @return whether it was forwarded
     */
    public boolean forwarded() {
        return !visited.isEmpty();
    }

    /**
     * The same work after a server was tried in vain.
     *
     * @param server the server not to try again
     * @return the work with that server excluded
     */
    public Work without(ServerId server) {
        Set<ServerId> more = new HashSet<>(tried);
        more.add(server);
        return withTried(more);
    }

    /**
     * The same work with other servers excluded.
     *
     * @param servers the servers not to try
     * @return the work with exactly those servers excluded
     */
    public Work withTried(Set<ServerId> servers) {
        return new Work(
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
                visited);
    }
}
