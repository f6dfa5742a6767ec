package org.ibissaddle.cli.status;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.ibissaddle.id.Address;
import org.ibissaddle.id.InvalidIdentifierException;

/** Queries the status of instances and of the peers that they report. */
public final class StatusCollector implements AutoCloseable {
    private static final ObjectMapper JSON = new ObjectMapper();

    private final HttpClient http;
    private final Duration timeout;
    private final ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor();

    /**
     * Creates a collector.
     *
     * @param timeoutMs timeout for one instance, milliseconds
     */
    public StatusCollector(long timeoutMs) {
        this.timeout = Duration.ofMillis(timeoutMs);
        this.http = HttpClient.newBuilder()
                .version(HttpClient.Version.HTTP_1_1)
                .connectTimeout(timeout)
                .build();
    }

    /**
     * Queries the given instances and the peers that they report.
     *
     * @param seeds control addresses of the instances to query first
     * @return one entry for each address, in the order of discovery
     * @throws InterruptedException when the thread is interrupted
     */
    public List<InstanceStatus> collect(List<Address> seeds) throws InterruptedException {
        List<InstanceStatus> statuses = queryAll(seeds);
        Set<Address> queried = new LinkedHashSet<>(seeds);
        Set<Address> reportedPeers = new LinkedHashSet<>();
        for (InstanceStatus status : statuses) {
            status.response().ifPresent(response -> reportedPeers.addAll(peers(response)));
        }
        reportedPeers.removeAll(queried);
        statuses.addAll(queryAll(List.copyOf(reportedPeers)));
        return statuses;
    }

    private List<InstanceStatus> queryAll(List<Address> addresses) throws InterruptedException {
        List<Future<InstanceStatus>> pending = new ArrayList<>();
        for (Address address : addresses) {
            pending.add(threads.submit(() -> query(address)));
        }
        List<InstanceStatus> statuses = new ArrayList<>();
        for (Future<InstanceStatus> future : pending) {
            try {
                statuses.add(future.get());
            } catch (java.util.concurrent.ExecutionException e) {
                throw new IllegalStateException("status request failed unexpectedly", e.getCause());
            }
        }
        return statuses;
    }

    private InstanceStatus query(Address control) throws InterruptedException {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + control + "/status"))
                .timeout(timeout)
                .build();
        try {
            HttpResponse<byte[]> response = http.send(request, HttpResponse.BodyHandlers.ofByteArray());
            if (response.statusCode() != 200) {
                return InstanceStatus.failed(control, "answered with status " + response.statusCode());
            }
            return InstanceStatus.of(control, JSON.readTree(response.body()));
        } catch (IOException e) {
            String reason =
                    Optional.ofNullable(e.getMessage()).orElse(e.getClass().getSimpleName());
            return InstanceStatus.failed(control, "no answer: " + reason);
        }
    }

    private static List<Address> peers(JsonNode response) {
        List<Address> peers = new ArrayList<>();
        for (JsonNode peer : response.path("peers")) {
            address(peer.path("control_address").asText()).ifPresent(peers::add);
        }
        return peers;
    }

    private static Optional<Address> address(String text) {
        try {
            return Optional.of(Address.parse(text));
        } catch (InvalidIdentifierException e) {
            return Optional.empty();
        }
    }

    @Override
    public void close() {
        threads.close();
        http.close();
    }
}
