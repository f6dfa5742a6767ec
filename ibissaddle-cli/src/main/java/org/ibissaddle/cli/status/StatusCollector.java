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
import org.ibissaddle.id.InvalidNameException;

/** Asks instances for their status, and those that they name as peers. */
public final class StatusCollector implements AutoCloseable {
    private static final ObjectMapper JSON = new ObjectMapper();

    private final HttpClient http;
    private final Duration timeout;
    private final ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor();

    /**
     * Creates a collector.
     *
     * @param timeoutMs how long an instance may take to answer, milliseconds
     */
    public StatusCollector(long timeoutMs) {
        this.timeout = Duration.ofMillis(timeoutMs);
        this.http = HttpClient.newBuilder()
                .version(HttpClient.Version.HTTP_1_1)
                .connectTimeout(timeout)
                .build();
    }

    /**
     * Asks instances and the peers that they name.
     *
     * @param first control addresses
     * @return one entry for each address, in the order of discovery
     * @throws InterruptedException when the thread is interrupted
     */
    public List<InstanceStatus> collect(List<Address> first) throws InterruptedException {
        List<InstanceStatus> all = askAll(first);
        Set<Address> known = new LinkedHashSet<>(first);
        Set<Address> named = new LinkedHashSet<>();
        for (InstanceStatus status : all) {
            status.answer().ifPresent(answer -> named.addAll(peers(answer)));
        }
        named.removeAll(known);
        all.addAll(askAll(List.copyOf(named)));
        return all;
    }

    private List<InstanceStatus> askAll(List<Address> addresses) throws InterruptedException {
        List<Future<InstanceStatus>> waiting = new ArrayList<>();
        for (Address address : addresses) {
            waiting.add(threads.submit(() -> ask(address)));
        }
        List<InstanceStatus> all = new ArrayList<>();
        for (Future<InstanceStatus> one : waiting) {
            try {
                all.add(one.get());
            } catch (java.util.concurrent.ExecutionException e) {
                throw new IllegalStateException("asking for a status failed unexpectedly", e.getCause());
            }
        }
        return all;
    }

    private InstanceStatus ask(Address control) throws InterruptedException {
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
            String why = Optional.ofNullable(e.getMessage()).orElse(e.getClass().getSimpleName());
            return InstanceStatus.failed(control, "no answer: " + why);
        }
    }

    private static List<Address> peers(JsonNode answer) {
        List<Address> peers = new ArrayList<>();
        for (JsonNode peer : answer.path("peers")) {
            address(peer.path("control_address").asText()).ifPresent(peers::add);
        }
        return peers;
    }

    private static Optional<Address> address(String text) {
        try {
            return Optional.of(Address.parse(text));
        } catch (InvalidNameException e) {
            return Optional.empty();
        }
    }

    @Override
    public void close() {
        threads.close();
        http.close();
    }
}
