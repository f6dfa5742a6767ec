package org.ibissaddle.daemon.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import org.ibissaddle.daemon.peer.HttpCalls;
import org.ibissaddle.id.Address;
import org.ibissaddle.id.InvalidNameException;
import org.ibissaddle.id.PoolId;
import org.ibissaddle.id.Region;
import org.ibissaddle.id.Zone;
import org.ibissaddle.membership.Event;
import org.ibissaddle.membership.FleetList;
import org.ibissaddle.membership.ListEntry;

/** Reads the platform. A failed address is followed by the next one at the next read. */
public final class PlatformClient {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long TIMEOUT_MS = 3_000;
    private static final int OK = 200;
    private static final int NOT_MODIFIED = 304;
    private static final String LIST = "instances";

    private final HttpCalls http;
    private final List<Address> addresses;
    private final AtomicInteger current = new AtomicInteger();

    /**
     * Creates a client.
     *
     * @param http sends the calls
     * @param addresses addresses of the platform
     */
    public PlatformClient(HttpCalls http, List<Address> addresses) {
        this.http = http;
        this.addresses = List.copyOf(addresses);
    }

    /**
     * Reads a value of the configuration, waiting for a newer one.
     *
     * @param name name of the value
     * @param after revision that the answer shall exceed
     * @param waitMs how long to wait for it, milliseconds
     * @return what came of it
     */
    public Event value(String name, long after, long waitMs) {
        try {
            HttpCalls.Answer answer = read("/config/" + name, after, waitMs);
            if (answer.status() == NOT_MODIFIED) {
                return new Event.Unchanged(name);
            }
            long revision = Long.parseLong(answer.header().orElse("0"));
            return answer.status() == OK
                    ? new Event.ValueRead(name, revision, answer.body())
                    : new Event.ReadFailed(name);
        } catch (IOException | NumberFormatException e) {
            next();
            return new Event.ReadFailed(name);
        }
    }

    /**
     * Reads the list of instances and servers, waiting for a newer one where the platform allows it.
     *
     * @param after revision that the answer shall exceed
     * @param waitMs how long to wait for it, milliseconds
     * @return what came of it
     */
    public Event list(long after, long waitMs) {
        try {
            HttpCalls.Answer answer = read("/instances", after, waitMs);
            if (answer.status() == NOT_MODIFIED) {
                return new Event.Unchanged(LIST);
            }
            return answer.status() == OK ? new Event.ListRead(parse(answer.body())) : new Event.ReadFailed(LIST);
        } catch (IOException | InvalidNameException e) {
            next();
            return new Event.ReadFailed(LIST);
        }
    }

    private HttpCalls.Answer read(String path, long after, long waitMs) throws IOException {
        if (addresses.isEmpty()) {
            throw new IOException("the settings name no address of the platform");
        }
        Address address = addresses.get(Math.floorMod(current.get(), addresses.size()));
        String query = waitMs > 0 ? "?after=" + after + "&wait_ms=" + waitMs : "";
        return http.get(address, path + query, "X-Revision", TIMEOUT_MS + waitMs);
    }

    private void next() {
        current.incrementAndGet();
    }

    private static FleetList parse(String body) throws IOException {
        JsonNode json = JSON.readTree(body);
        List<ListEntry> entries = new ArrayList<>();
        for (JsonNode entry : json.path("entries")) {
            entries.add(entry(entry));
        }
        return new FleetList(json.path("revision").asLong(), entries);
    }

    private static ListEntry entry(JsonNode json) {
        boolean instance = json.path("kind").asText().equals("instance");
        return new ListEntry(
                json.path("name").asText(),
                instance ? ListEntry.Kind.INSTANCE : ListEntry.Kind.SERVER,
                text(json, "pool").map(PoolId::new),
                new Region(json.path("region").asText()),
                new Zone(json.path("zone").asText()),
                Address.parse(json.path("address").asText()),
                text(json, "control").map(Address::parse),
                json.path("state").asText().equals("leaving"));
    }

    private static Optional<String> text(JsonNode json, String field) {
        return Optional.ofNullable(json.path(field).textValue());
    }
}
