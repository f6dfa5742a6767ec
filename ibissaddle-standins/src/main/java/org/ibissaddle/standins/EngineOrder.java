package org.ibissaddle.standins;

import java.util.Optional;

/**
 * An order that changes the resident models, the adapters or the role of an engine.
 *
 * @param token the fencing token
 * @param kind {@code load}, {@code unload} or {@code role}
 * @param model the model to load or unload
 * @param version the version of the model
 * @param adapter the adapter to load or unload
 * @param role the new role
 */
public record EngineOrder(
        long token,
        String kind,
        Optional<String> model,
        Optional<String> version,
        Optional<String> adapter,
        Optional<String> role) {}
