package org.ibissaddle.daemon.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import org.ibissaddle.daemon.log.EventLog;
import org.ibissaddle.daemon.peer.ControlHttpClient;
import org.ibissaddle.id.Address;
import org.ibissaddle.id.InvalidIdentifierException;
import org.ibissaddle.id.PoolId;
import org.ibissaddle.id.Region;
import org.ibissaddle.id.ServerId;
import org.ibissaddle.id.Zone;
import org.ibissaddle.membership.ControlLoopEvent;
import org.ibissaddle.membership.FleetList;
import org.ibissaddle.membership.ListEntry;

/**
 * Reads configuration values and the instance list from the platform. After an I/O error or a malformed response, the
 * next read uses the next address.
 */
public final class PlatformClient {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long TIMEOUT_MS = 3_000;
    private static final int OK = 200;
    private static final int NOT_MODIFIED = 304;
    private static final String INSTANCE_LIST_NAME = "instances";

    private final ControlHttpClient http;
    private final List<Address> addresses;
    private final EventLog log;
    private final AtomicInteger addressIndex = new AtomicInteger();

    /**
     * Creates a client.
     *
     * @param http HTTP client
     * @param addresses addresses of the configuration service, used in turn
     * @param log log of the instance
     */
    public PlatformClient(ControlHttpClient http, List<Address> addresses, EventLog log) {
        this.http = http;
        this.log = log;
        this.addresses = List.copyOf(addresses);
    }

    /**
     * Reads a configuration value by long polling.
     *
     * @param name name of the value
     * @param afterRevision revision that is already known; a newer one is requested
     * @param waitMs maximum wait for a newer revision, in milliseconds; 0 reads the current one without waiting
     * @return the result as an event
     */
    public ControlLoopEvent readValue(String name, long afterRevision, long waitMs) {
        try {
            ControlHttpClient.ControlResponse response = fetch("/config/" + name, afterRevision, waitMs);
            if (response.status() == NOT_MODIFIED) {
                return new ControlLoopEvent.Unchanged(name);
            }
            long revision = Long.parseLong(response.header().orElse("0"));
            return response.status() == OK
                    ? new ControlLoopEvent.ValueRead(name, revision, response.body())
                    : new ControlLoopEvent.ReadFailed(name);
        } catch (IOException | NumberFormatException e) {
            useNextAddress();
            return new ControlLoopEvent.ReadFailed(name);
        }
    }

    /**
     * Reads the list of instances and backend servers, by long polling where the platform supports it.
     *
     * @param afterRevision revision that is already known; a newer one is requested
     * @param waitMs maximum wait for a newer revision, in milliseconds; 0 reads the current one without waiting
     * @return the result as an event
     */
    public ControlLoopEvent readInstanceList(long afterRevision, long waitMs) {
        try {
            ControlHttpClient.ControlResponse response = fetch("/instances", afterRevision, waitMs);
            if (response.status() == NOT_MODIFIED) {
                return new ControlLoopEvent.Unchanged(INSTANCE_LIST_NAME);
            }
            return response.status() == OK
                    ? new ControlLoopEvent.ListRead(parseInstanceList(response.body()))
                    : new ControlLoopEvent.ReadFailed(INSTANCE_LIST_NAME);
        } catch (IOException e) {
            useNextAddress();
            return new ControlLoopEvent.ReadFailed(INSTANCE_LIST_NAME);
        }
    }

    private ControlHttpClient.ControlResponse fetch(String path, long afterRevision, long waitMs) throws IOException {
        if (addresses.isEmpty()) {
            throw new IOException("no platform address is configured");
        }
        Address address = addresses.get(Math.floorMod(addressIndex.get(), addresses.size()));
        String query = waitMs > 0 ? "?after=" + afterRevision + "&wait_ms=" + waitMs : "";
        return http.get(address, path + query, "X-Revision", TIMEOUT_MS + waitMs);
    }

    private void useNextAddress() {
        addressIndex.incrementAndGet();
    }

    private FleetList parseInstanceList(String body) throws IOException {
        JsonNode json = JSON.readTree(body);
        List<ListEntry> entries = new ArrayList<>();
        for (JsonNode entry : json.path("entries")) {
            try {
                entries.add(parseEntry(entry));
            } catch (InvalidIdentifierException e) {
                log.warning("list-entry-invalid", "name", entry.path("name").asText(), "reason", e.getMessage());
            }
        }
        return new FleetList(json.path("revision").asLong(), entries);
    }

    private static ListEntry parseEntry(JsonNode json) {
        boolean isInstance = json.path("kind").asText().equals("instance");
        return new ListEntry(
                new ServerId(json.path("name").asText()).name(),
                isInstance ? ListEntry.Kind.INSTANCE : ListEntry.Kind.SERVER,
                isInstance
                        ? Optional.empty()
                        : Optional.of(new PoolId(json.path("pool").asText())),
                new Region(json.path("region").asText()),
                new Zone(json.path("zone").asText()),
                Address.parse(json.path("address").asText()),
                isInstance ? Optional.of(Address.parse(json.path("control").asText())) : Optional.empty(),
                json.path("state").asText().equals("leaving"));
    }
}
