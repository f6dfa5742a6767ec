package org.ibissaddle.note;

import org.ibissaddle.id.PoolId;

/**
 * A rule that routes calls to a plain service to a pool.
 *
 * @param name name of the route
 * @param pool pool that serves the calls
 * @param method HTTP method in upper case
 * @param pathPrefix path prefix, matched on whole path segments
 * @param repeatable whether calls may be executed more than once
 */
public record PoolRoute(String name, PoolId pool, String method, String pathPrefix, boolean repeatable) {
    /**
     * Checks whether the route matches a call.
     *
     * @param callMethod HTTP method of the call in upper case
     * @param path path of the call, without query
     * @return true if the route matches
     */
    public boolean matches(String callMethod, String path) {
        if (!method.equals(callMethod) || !path.startsWith(pathPrefix)) {
            return false;
        }
        return path.length() == pathPrefix.length()
                || pathPrefix.endsWith("/")
                || path.charAt(pathPrefix.length()) == '/';
    }
}
