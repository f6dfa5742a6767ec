package org.ibissaddle.daemon.control;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.jooby.Jooby;
import io.jooby.MediaType;
import org.ibissaddle.daemon.settings.Settings;
import org.ibissaddle.daemon.state.SharedState;
import org.ibissaddle.fleet.FleetView;
import org.ibissaddle.fleet.InstanceView;
import org.ibissaddle.fleet.ServerView;

/** Adds {@code GET /status}: what the instance believes, for operators. */
public final class StatusRoute implements ControlRoutes {
    private static final ObjectMapper JSON = new ObjectMapper();

    private final Settings settings;
    private final SharedState state;

    /**
     * Creates the route.
     *
     * @param settings settings of the instance
     * @param state note and beliefs
     */
    public StatusRoute(Settings settings, SharedState state) {
        this.settings = settings;
        this.state = state;
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
        state.note()
                .ifPresent(note ->
                        root.putObject("note").put("number", note.number()).put("digest", note.digest()));
        FleetView fleet = state.fleet();
        root.put("refreshed_at_ms", fleet.refreshedAtMs());
        fleet.self().incarnation().ifPresent(value -> root.put("incarnation", value.toString()));
        var peers = root.putArray("peers");
        fleet.peers().forEach(peer -> addPeer(peers.addObject(), peer));
        var servers = root.putArray("servers");
        fleet.servers().forEach(server -> addServer(servers.addObject(), server));
        return root;
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
