package org.ibissaddle.membership;

import java.util.Optional;
import java.util.Set;
import org.ibissaddle.fleet.ServerLoad;
import org.ibissaddle.id.AdapterId;
import org.ibissaddle.id.Incarnation;
import org.ibissaddle.id.ModelId;
import org.ibissaddle.id.ServerId;

/**
 * State that a backend server reported about itself.
 *
 * @param server its name
 * @param incarnation its incarnation, empty when not reported
 * @param load its load, with a timestamp of the local clock
 * @param models resident model versions
 * @param adapters resident adapters
 * @param leaving whether it is draining
 */
public record ServerReport(
        ServerId server,
        Optional<Incarnation> incarnation,
        ServerLoad load,
        Set<ModelId> models,
        Set<AdapterId> adapters,
        boolean leaving) {
    /** Makes defensive copies of the sets. */
    public ServerReport {
        models = Set.copyOf(models);
        adapters = Set.copyOf(adapters);
    }
}
