package org.ibissaddle.daemon.gateway;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.ibissaddle.backend.BackendServer;
import org.ibissaddle.catalog.CatalogEvent;
import org.ibissaddle.catalog.ServerEntry;
import org.ibissaddle.id.Region;
import org.ibissaddle.id.ServerId;
import org.ibissaddle.quarantine.Crash;
import org.ibissaddle.quarantine.CrashEvidence;
import org.ibissaddle.quarantine.CrashQuarantine;
import org.ibissaddle.quarantine.CrashUpdate;
import org.ibissaddle.quarantine.RefusedContent;

/** Refuses requests that crash servers, and those with prompt parts that do. Confined to the event loop. */
final class CrashGuard {
    private final GatewayCore core;
    private final CrashEvidence evidence = new CrashEvidence();
    private final CrashQuarantine promptParts = CrashQuarantine.forPromptParts();
    private final CrashQuarantine requests = CrashQuarantine.forRequests();
    private Set<String> refusedParts = Set.of();
    private Set<String> refusedRequests = Set.of();

    CrashGuard(GatewayCore core) {
        this.core = core;
    }

    /**
     * Records that a server closed a connection while a request was in flight on it. This is no evidence of a crash
     * until the server proves to be unreachable or to have restarted.
     *
     * @param startedMs start time of the server when the request was sent, epoch milliseconds; empty if unknown
     */
    void recordConnectionLost(BackendServer server, OptionalLong startedMs, RequestContent content) {
        ServerId id = server.entry().id();
        Crash crash = new Crash(id, Long.toString(startedMs.orElse(0)));
        evidence.recordLoss(new CrashEvidence.Loss(
                crash, content.sharedPartIds(), content.fingerprint(), content.homes(), core.nowMs()));
        boolean removed = core.backends().server(id).filter(server::equals).isEmpty()
                && !server.entry().draining();
        if (removed || isOtherIncarnation(startedMs, server.entry().startedMs())) {
            serverRestarted(id, "already known");
        }
    }

    private static boolean isOtherIncarnation(OptionalLong startedMs, OptionalLong nextStartedMs) {
        return startedMs.isPresent() && nextStartedMs.isPresent() && !startedMs.equals(nextStartedMs);
    }

    /** Records that a health check has failed. */
    void serverUnreachable(BackendServer server) {
        ServerId id = server.entry().id();
        recordCrashes(id, evidence.serverUnreachable(id, core.nowMs()), "unreachable");
    }

    /** Records that a server has restarted or was removed; the source of this is logged. */
    void serverRestarted(ServerId id, String source) {
        recordCrashes(id, evidence.serverRestarted(id, core.nowMs()), source);
    }

    /** Returns whether a failed health check of a server would prove a crash. */
    boolean awaitsCheck(BackendServer server) {
        return evidence.awaitsCheck(server.entry().id(), core.nowMs());
    }

    /** Records a restart that a change of the catalog shows. Must be called before the change is applied. */
    void onCatalogEvent(CatalogEvent event) {
        switch (event) {
            case CatalogEvent.ServerPublished published -> {
                ServerEntry next = published.entry();
                core.backends()
                        .server(next.id())
                        .filter(known -> isOtherIncarnation(known.entry().startedMs(), next.startedMs())
                                || !known.entry().address().equals(next.address()))
                        .ifPresent(known -> serverRestarted(next.id(), "published"));
            }
            case CatalogEvent.ServerRemoved removed ->
                // A server that was leaving has ended as announced.
                core.backends()
                        .server(removed.id())
                        .filter(core.backends()::isEligible)
                        .ifPresent(gone -> serverRestarted(removed.id(), "removed"));
            default -> {}
        }
    }

    private void recordCrashes(ServerId server, List<CrashEvidence.Loss> losses, String proof) {
        if (losses.isEmpty()) {
            return;
        }
        long nowMs = core.nowMs();
        for (CrashEvidence.Loss loss : losses) {
            promptParts.recordCrash(loss.crash(), loss.promptParts(), loss.homes(), loss.lostMs(), nowMs);
            requests.recordCrash(loss.crash(), List.of(loss.fingerprint()), loss.homes(), loss.lostMs(), nowMs);
        }
        core.log()
                .notice(
                        "server-crashed",
                        "server",
                        server,
                        "proof",
                        proof,
                        "requests",
                        losses.size(),
                        "lostAgoMs",
                        nowMs - losses.getFirst().lostMs());
        logChanges();
    }

    /** Records that a server has answered a request in full. */
    void recordRequestCompletion(RequestContent content) {
        boolean mayBeMarked = !requests.isEmpty() || !evidence.isEmpty(core.nowMs());
        if (mayBeMarked && requests.recordCompletion(List.of(content.fingerprint()), core.nowMs())) {
            logChanges();
        }
    }

    /** Records that a server has completed the response to a prompt. */
    void recordPromptCompletion(RequestContent content) {
        if (promptParts.recordCompletion(content.sharedPartIds(), core.nowMs())) {
            logChanges();
        }
    }

    /** Returns the content for which a request is refused, empty if the request may be sent. */
    Optional<RefusedContent> check(RequestContent content) {
        Optional<RefusedContent> refusedRequest = requests.isEmpty()
                ? Optional.empty()
                : requests.check(List.of(content.fingerprint()), key -> false, core.nowMs());
        return refusedRequest.or(() -> promptParts.check(
                content.sharedPartIds(),
                part -> core.peers().isChosenFor(part, core.settings().region(), content.homes(), core.nowMs()),
                core.nowMs()));
    }

    /** Whether a request like this one was in flight at a crash and has not completed since. */
    boolean isSuspect(RequestContent content) {
        return !requests.isEmpty() && requests.isMarked(content.fingerprint(), core.nowMs());
    }

    CrashUpdate promptPartsFor(Optional<Region> recipient) {
        return promptParts.updateFor(recipient, core.nowMs());
    }

    CrashUpdate requestsFor(Optional<Region> recipient) {
        return requests.updateFor(recipient, core.nowMs());
    }

    void merge(CrashUpdate promptPartUpdate, CrashUpdate requestUpdate) {
        promptParts.merge(promptPartUpdate, core.nowMs());
        requests.merge(requestUpdate, core.nowMs());
        logChanges();
    }

    private void logChanges() {
        refusedParts = logChanges("prompt-part", "part", refusedParts, promptParts.refusedKeys(core.nowMs()));
        refusedRequests =
                logChanges("request-content", "fingerprint", refusedRequests, requests.refusedKeys(core.nowMs()));
    }

    /** Logs which keys are refused or cleared since the last call; returns the refused ones. */
    private Set<String> logChanges(String kind, String field, Set<String> before, Map<String, Integer> current) {
        if (current.keySet().equals(before)) {
            return before;
        }
        current.forEach((key, crashes) -> {
            if (!before.contains(key)) {
                core.log().notice(kind + "-refused", field, key, "crashes", crashes);
            }
        });
        for (String key : before) {
            if (!current.containsKey(key)) {
                core.log().notice(kind + "-cleared", field, key);
            }
        }
        return Set.copyOf(current.keySet());
    }
}
