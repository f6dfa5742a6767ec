package org.ibissaddle.note;

import org.ibissaddle.id.PoolId;

/**
 * A rule that routes calls of a plain service to a pool.
 *
 * @param name name of the rule
 * @param pool pool that serves the calls
 * @param method HTTP method, upper case
 * @param pathPrefix path that the rule covers, with everything below it
 * @param repeatable whether a call may run more than once
 */
public record Route(String name, PoolId pool, String method, String pathPrefix, boolean repeatable) {
    /**
     * Tells whether the rule covers a call.
     *
     * @param callMethod HTTP method of the call, upper case
     * @param path path of the call, without query
     * @return whether the rule applies
     */
    public boolean covers(String callMethod, String path) {
        if (!method.equals(callMethod) || !path.startsWith(pathPrefix)) {
            return false;
        }
        return path.length() == pathPrefix.length()
                || pathPrefix.endsWith("/")
                || path.charAt(pathPrefix.length()) == '/';
    }
}
