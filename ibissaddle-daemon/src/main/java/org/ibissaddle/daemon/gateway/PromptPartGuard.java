package org.ibissaddle.daemon.gateway;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.ibissaddle.backend.BackendServer;
import org.ibissaddle.backend.RequestDemand;
import org.ibissaddle.id.Region;
import org.ibissaddle.quarantine.Crash;
import org.ibissaddle.quarantine.PromptPartQuarantine;
import org.ibissaddle.quarantine.PromptPartUpdate;
import org.ibissaddle.quarantine.RefusedPart;
import org.ibissaddle.route.Route;

/** Refuses requests with prompt parts that crash servers. Confined to the event loop. */
final class PromptPartGuard {
    private final GatewayCore core;
    private final PromptPartQuarantine quarantine = new PromptPartQuarantine();
    private Set<String> refused = Set.of();

    PromptPartGuard(GatewayCore core) {
        this.core = core;
    }

    /** Records that the connection to a server was lost while a request was in flight there. */
    void recordCrash(BackendServer server, RequestDemand demand, Route route) {
        long startedMs = server.entry().startedMs().orElse(0);
        Crash crash = new Crash(server.entry().id(), Long.toString(startedMs));
        quarantine.recordCrash(crash, demand.sharedPartIds(), route.homeRegions(), core.nowMs());
        logChanges();
    }

    void recordCompletion(RequestDemand demand) {
        if (quarantine.recordCompletion(demand.sharedPartIds(), core.nowMs())) {
            logChanges();
        }
    }

    /** Returns the part for which a request is refused, empty if the request may be sent. */
    Optional<RefusedPart> check(RequestDemand demand, Route route) {
        return quarantine.check(
                demand.sharedPartIds(),
                part -> core.peers().isChosenFor(part, core.settings().region(), route.homeRegions(), core.nowMs()),
                core.nowMs());
    }

    PromptPartUpdate updateFor(Optional<Region> recipient) {
        return quarantine.updateFor(recipient, core.nowMs());
    }

    void merge(PromptPartUpdate update) {
        quarantine.merge(update, core.nowMs());
        logChanges();
    }

    private void logChanges() {
        Map<String, Integer> current = quarantine.refusedParts(core.nowMs());
        if (current.keySet().equals(refused)) {
            return;
        }
        current.forEach((part, crashes) -> {
            if (!refused.contains(part)) {
                core.log().notice("prompt-part-refused", "part", part, "crashes", crashes);
            }
        });
        for (String part : refused) {
            if (!current.containsKey(part)) {
                core.log().notice("prompt-part-cleared", "part", part);
            }
        }
        refused = Set.copyOf(current.keySet());
    }
}
