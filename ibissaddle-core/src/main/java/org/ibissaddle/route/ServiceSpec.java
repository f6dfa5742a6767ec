package org.ibissaddle.route;

import java.util.Optional;

/**
 * Configuration of a service.
 *
 * @param name name of the service
 * @param healthPath path of the health check
 * @param maxConnections maximum number of connections that each server accepts, from all callers together
 * @param coldMs duration of the cold-start period of a server in milliseconds
 * @param coldPerSecond maximum number of requests per second that a cold server can handle
 * @param engine capacity of the model engines, empty for a plain service
 */
public record ServiceSpec(
        String name,
        String healthPath,
        int maxConnections,
        long coldMs,
        double coldPerSecond,
        Optional<EngineSpec> engine) {}
