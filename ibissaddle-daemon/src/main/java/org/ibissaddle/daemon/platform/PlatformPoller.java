package org.ibissaddle.daemon.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.ibissaddle.daemon.backend.EngineClient;
import org.ibissaddle.daemon.log.EventLog;
import org.ibissaddle.daemon.settings.Settings;
import org.ibissaddle.daemon.state.SharedState;
import org.ibissaddle.fleet.FleetView;
import org.ibissaddle.fleet.Health;
import org.ibissaddle.fleet.InstanceView;
import org.ibissaddle.fleet.ServerLoad;
import org.ibissaddle.fleet.ServerView;
import org.ibissaddle.id.Address;
import org.ibissaddle.id.InstanceId;
import org.ibissaddle.id.PoolId;
import org.ibissaddle.id.Region;
import org.ibissaddle.id.ServerId;
import org.ibissaddle.id.Zone;
import org.ibissaddle.note.ReleaseNote;
import org.ibissaddle.port.Clock;

/** Reads the note and the list of live instances from the platform at an interval. */
public final class PlatformPoller implements AutoCloseable {
    private static final long INTERVAL_MS = 500;
    private static final ObjectMapper JSON = new ObjectMapper();

    private final Settings settings;
    private final SharedState state;
    private final NoteSource notes;
    private final EngineClient http;
    private final Clock clock;
    private final EventLog log;
    private final Thread thread;

    /**
     * Starts to poll.
     *
     * @param settings settings of the instance
     * @param state note and beliefs
     * @param notes reads note text
     * @param http calls the platform
     * @param clock source of time
     * @param log log of the instance
     */
    public PlatformPoller(
            Settings settings, SharedState state, NoteSource notes, EngineClient http, Clock clock, EventLog log) {
        this.settings = settings;
        this.state = state;
        this.notes = notes;
        this.http = http;
        this.clock = clock;
        this.log = log;
        this.thread = Thread.ofVirtual().name("platform").start(this::run);
    }

    /** Reads the text of a note. */
    @FunctionalInterface
    public interface NoteSource {
        /**
         * Reads a note.
         *
         * @param text INI text
         * @return the note, empty when it is refused
         */
        Optional<ReleaseNote> read(String text);
    }

    private void run() {
        while (!Thread.currentThread().isInterrupted()) {
            for (Address platform : settings.platform()) {
                if (refresh(platform)) {
                    break;
                }
            }
            try {
                Thread.sleep(INTERVAL_MS);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private boolean refresh(Address platform) {
        try {
            String text = http.get(platform, "/config/note");
            notes.read(text).ifPresent(this::offer);
            believe(JSON.readTree(http.get(platform, "/instances")));
            return true;
        } catch (IOException e) {
            log.warning("platform-unreachable", "address", platform, "cause", e.getMessage());
            return false;
        }
    }

    private void offer(ReleaseNote note) {
        long inForce = state.note().map(ReleaseNote::number).orElse(-1L);
        if (note.number() > inForce) {
            state.putInForce(note);
            log.info("note-in-force", "number", note.number(), "digest", note.digest());
        }
    }

    private void believe(JsonNode list) {
        List<InstanceView> peers = new ArrayList<>();
        List<ServerView> servers = new ArrayList<>();
        for (JsonNode entry : list.path("entries")) {
            Region region = new Region(entry.path("region").asText());
            if (entry.path("kind").asText().equals("instance")) {
                peer(entry, region).ifPresent(peers::add);
            } else if (region.equals(settings.region())) {
                servers.add(server(entry, region));
            }
        }
        FleetView now = state.fleet();
        state.believe(new FleetView(now.self(), peers, servers, clock.nowMs()));
    }

    private Optional<InstanceView> peer(JsonNode entry, Region region) {
        InstanceId id = new InstanceId(entry.path("name").asText());
        if (id.equals(settings.instance())) {
            return Optional.empty();
        }
        return Optional.of(new InstanceView(
                id,
                Optional.empty(),
                region,
                new Zone(entry.path("zone").asText()),
                Address.parse(entry.path("address").asText()),
                Address.parse(entry.path("control").asText()),
                health(entry),
                0,
                0));
    }

    private ServerView server(JsonNode entry, Region region) {
        PoolId pool = new PoolId(entry.path("pool").asText());
        return new ServerView(
                new ServerId(entry.path("name").asText()),
                Optional.empty(),
                pool,
                region,
                new Zone(entry.path("zone").asText()),
                Address.parse(entry.path("address").asText()),
                health(entry),
                state.note()
                        .flatMap(note -> Optional.ofNullable(note.pools().get(pool)))
                        .map(declared -> declared.models())
                        .orElse(Set.of()),
                ServerLoad.NONE);
    }

    private static Health health(JsonNode entry) {
        return entry.path("state").asText().equals("leaving") ? Health.LEAVING : Health.LIVE;
    }

    @Override
    public void close() {
        thread.interrupt();
    }
}
