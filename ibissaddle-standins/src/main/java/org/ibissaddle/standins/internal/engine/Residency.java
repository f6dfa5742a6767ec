package org.ibissaddle.standins.internal.engine;

import java.util.List;
import java.util.Optional;
import java.util.TreeSet;
import org.ibissaddle.standins.EngineOrder;
import org.ibissaddle.standins.internal.http.ExecutionOutcome;
import org.ibissaddle.standins.internal.http.RequestRejectedException;

/** The resident models and adapters of an engine and its role, changed by orders with fencing tokens. */
public final class Residency {
    private final TreeSet<String> models;
    private final TreeSet<String> adapters = new TreeSet<>();
    private final boolean checksTokens;
    private String role;
    private long token;

    /**
     * Creates the residency of a starting engine.
     *
     * @param models the models, each as {@code model@version}
     * @param checksTokens whether orders with a stale fencing token are rejected
     */
    public Residency(List<String> models, String role, boolean checksTokens) {
        this.models = new TreeSet<>(models);
        this.role = role;
        this.checksTokens = checksTokens;
    }

    /** Returns the resident models, each as {@code model@version}. */
    public List<String> models() {
        return List.copyOf(models);
    }

    public List<String> adapters() {
        return List.copyOf(adapters);
    }

    public String role() {
        return role;
    }

    /** Returns the highest fencing token of an accepted order. */
    public long token() {
        return token;
    }

    /** Returns whether a model, given with or without its version, or an adapter is resident. */
    public boolean has(String model) {
        return models.contains(model)
                || adapters.contains(model)
                || models.stream().anyMatch(resident -> resident.startsWith(model + "@"));
    }

    /** Rejects an order with a stale fencing token if tokens are checked; otherwise records its token. */
    public void accept(EngineOrder order) throws RequestRejectedException {
        if (checksTokens && order.token() < token) {
            throw new RequestRejectedException(
                    409,
                    "stale-token",
                    ExecutionOutcome.NOT_RUN,
                    "order token " + order.token() + " is older than token " + token);
        }
        token = Math.max(token, order.token());
    }

    /** Applies an order to the resident models and adapters or to the role. */
    public void apply(EngineOrder order) throws RequestRejectedException {
        switch (order.kind()) {
            case "load" -> load(order);
            case "unload" -> unload(order);
            case "role" -> role = required(order, "role", order.role());
            default -> throw RequestRejectedException.badRequest("order kind \"" + order.kind() + "\" is unknown");
        }
    }

    private void load(EngineOrder order) throws RequestRejectedException {
        if (order.adapter().isPresent()) {
            adapters.add(order.adapter().get());
            return;
        }
        models.add(modelKey(order));
    }

    private void unload(EngineOrder order) throws RequestRejectedException {
        if (order.adapter().isPresent()) {
            adapters.remove(order.adapter().get());
            return;
        }
        models.remove(modelKey(order));
    }

    private static String modelKey(EngineOrder order) throws RequestRejectedException {
        return required(order, "model", order.model()) + "@" + required(order, "version", order.version());
    }

    private static String required(EngineOrder order, String field, Optional<String> value)
            throws RequestRejectedException {
        return value.orElseThrow(() -> RequestRejectedException.badRequest(
                "order of kind \"" + order.kind() + "\" has no field \"" + field + "\""));
    }
}
