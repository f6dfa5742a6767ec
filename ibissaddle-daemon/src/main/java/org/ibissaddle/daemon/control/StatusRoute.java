package org.ibissaddle.daemon.control;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.jooby.Jooby;
import io.jooby.MediaType;
import java.util.Locale;
import java.util.function.Supplier;
import org.ibissaddle.daemon.settings.Settings;
import org.ibissaddle.daemon.state.SharedState;
import org.ibissaddle.fleet.FleetView;
import org.ibissaddle.fleet.InstanceView;
import org.ibissaddle.fleet.ServerView;
import org.ibissaddle.note.NoteStatus;
import org.ibissaddle.note.ReleaseNote;

/** Adds {@code GET /status}: what the instance believes, for operators. */
public final class StatusRoute implements ControlRoutes {
    private static final ObjectMapper JSON = new ObjectMapper();

    private final Settings settings;
    private final SharedState state;
    private final Supplier<NoteStatus> note;

    /**
     * Creates the route.
     *
     * @param settings settings of the instance
     * @param state note and beliefs
     * @param note what is known of the note
     */
    public StatusRoute(Settings settings, SharedState state, Supplier<NoteStatus> note) {
        this.settings = settings;
        this.state = state;
        this.note = note;
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
        state.note().ifPresent(inForce -> addNote(root.putObject("note"), inForce));
        FleetView fleet = state.fleet();
        root.put("refreshed_at_ms", fleet.refreshedAtMs());
        fleet.self().incarnation().ifPresent(value -> root.put("incarnation", value.toString()));
        var peers = root.putArray("peers");
        fleet.peers().forEach(peer -> addPeer(peers.addObject(), peer));
        var servers = root.putArray("servers");
        fleet.servers().forEach(server -> addServer(servers.addObject(), server));
        return root;
    }

    private void addNote(ObjectNode json, ReleaseNote inForce) {
        NoteStatus status = note.get();
        json.put("number", inForce.number()).put("digest", inForce.digest());
        json.put("accepted_at_ms", status.acceptedAtMs());
        status.source().ifPresent(source -> json.put("source", source.name().toLowerCase(Locale.ROOT)));
        status.freshAtMs().ifPresent(at -> json.put("fresh_at_ms", at));
        json.put("behind", status.behind());
        status.trouble()
                .ifPresent(trouble ->
                        json.put("trouble", trouble.getClass().getSimpleName().toLowerCase(Locale.ROOT)));
    }

    private static void addPeer(ObjectNode json, InstanceView peer) {
        json.put("name", peer.id().name());
        json.put("region", peer.region().name());
        json.put("zone", peer.zone().name());
        json.put("health", peer.health().name());
        json.put("load", peer.load());
    }

    private static void addServer(ObjectNode json, ServerView server) {
        json.put("name", server.id().name());
        json.put("pool", server.pool().name());
        json.put("zone", server.zone().name());
        json.put("health", server.health().name());
        json.put("running", server.load().running());
        json.put("queued", server.load().queued());
    }
}
