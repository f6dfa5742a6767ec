package org.ibissaddle.membership;

import java.util.Optional;
import java.util.Set;
import org.ibissaddle.fleet.ServerLoad;
import org.ibissaddle.id.AdapterId;
import org.ibissaddle.id.Incarnation;
import org.ibissaddle.id.ModelId;
import org.ibissaddle.id.ServerId;

/**
 * What a backend server said of itself.
 *
 * @param server its name
 * @param incarnation its incarnation, empty when it does not say one
 * @param load its load; the time in it is of the own clock
 * @param models resident model versions
 * @param adapters resident adapters
 * @param leaving whether it drains
 */
public record ServerReport(
        ServerId server,
        Optional<Incarnation> incarnation,
        ServerLoad load,
        Set<ModelId> models,
        Set<AdapterId> adapters,
        boolean leaving) {
    /** Copies the sets. */
    public ServerReport {
        models = Set.copyOf(models);
        adapters = Set.copyOf(adapters);
    }
}
