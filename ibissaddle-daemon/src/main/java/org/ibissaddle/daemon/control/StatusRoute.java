package org.ibissaddle.daemon.control;

import com.codahale.metrics.Meter;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.jooby.Jooby;
import io.jooby.MediaType;
import java.util.Locale;
import java.util.function.IntSupplier;
import org.ibissaddle.daemon.caller.RefusalCounts;
import org.ibissaddle.daemon.settings.Settings;
import org.ibissaddle.daemon.state.SharedState;
import org.ibissaddle.fleet.FleetView;
import org.ibissaddle.fleet.InstanceView;
import org.ibissaddle.fleet.ServerView;
import org.ibissaddle.note.NoteStatus;
import org.ibissaddle.note.ReleaseNote;
import org.ibissaddle.outcome.RefusalType;
import org.ibissaddle.port.Clock;

/** Adds {@code GET /status}: the instance's state and its view of the fleet, for operators. */
public final class StatusRoute implements ControlRoutes {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int SECONDS_PER_MINUTE = 60;

    private final Settings settings;
    private final SharedState state;
    private final RefusalCounts refusals;
    private final IntSupplier openRequests;
    private final Clock clock;

    /**
     * Creates the route.
     *
     * @param settings settings of the instance
     * @param state current release note and fleet view
     * @param refusals counts of refused requests
     * @param openRequests returns the number of open requests
     * @param clock time source
     */
    public StatusRoute(
            Settings settings, SharedState state, RefusalCounts refusals, IntSupplier openRequests, Clock clock) {
        this.settings = settings;
        this.state = state;
        this.refusals = refusals;
        this.openRequests = openRequests;
        this.clock = clock;
    }

    @Override
    public void addTo(Jooby app) {
        app.get("/status", ctx -> {
            ctx.setResponseType(MediaType.json);
            return status().toString();
        });
    }

    private ObjectNode status() {
        ObjectNode root = JSON.createObjectNode();
        root.put("instance", settings.instance().name());
        root.put("region", settings.region().name());
        root.put("zone", settings.zone().name());
        root.put("draining", state.draining());
        state.note().ifPresent(note -> addNote(root.putObject("note"), note));
        FleetView fleet = state.fleet();
        root.put("now_ms", clock.nowMs());
        root.put("open_requests", openRequests.getAsInt());
        root.put("refreshed_at_ms", fleet.refreshedAtMs());
        fleet.self().incarnation().ifPresent(value -> root.put("incarnation", value.toString()));
        var peers = root.putArray("peers");
        fleet.peers().forEach(peer -> addPeer(peers.addObject(), peer));
        var servers = root.putArray("servers");
        fleet.servers().forEach(server -> addServer(servers.addObject(), server));
        var refused = root.putArray("refusals");
        refusals.meters().forEach((type, meter) -> addRefusals(refused.addObject(), type, meter));
        return root;
    }

    private void addNote(ObjectNode json, ReleaseNote note) {
        json.put("number", note.number()).put("digest", note.digest());
        state.noteStatus().ifPresent(status -> addStatus(json, status));
    }

    private static void addStatus(ObjectNode json, NoteStatus status) {
        json.put("accepted_at_ms", status.acceptedAtMs());
        status.source().ifPresent(source -> json.put("source", source.name().toLowerCase(Locale.ROOT)));
        status.freshAtMs().ifPresent(at -> json.put("fresh_at_ms", at));
        json.put("behind", status.behind());
        status.lastProblem()
                .ifPresent(problem ->
                        json.put("trouble", problem.getClass().getSimpleName().toLowerCase(Locale.ROOT)));
    }

    private static void addPeer(ObjectNode json, InstanceView peer) {
        json.put("name", peer.id().name());
        json.put("region", peer.region().name());
        json.put("zone", peer.zone().name());
        json.put("control_address", peer.controlAddress().toString());
        json.put("health", peer.health().name());
        json.put("load", peer.load());
    }

    private void addRefusals(ObjectNode json, RefusalType type, Meter meter) {
        json.put("type", type.wireName());
        json.put("total", meter.getCount());
        json.put("per_minute", meter.getOneMinuteRate() * SECONDS_PER_MINUTE);
        json.put("message", refusals.lastMessage(type).orElse(""));
    }

    private static void addServer(ObjectNode json, ServerView server) {
        json.put("name", server.id().name());
        json.put("pool", server.pool().name());
        json.put("zone", server.zone().name());
        json.put("health", server.health().name());
        json.put("running", server.load().running());
        json.put("queued", server.load().queued());
        var models = json.putArray("models");
        server.models().stream().sorted().forEach(model -> models.add(model.toString()));
    }
}
