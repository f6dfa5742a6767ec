package org.ibissaddle.proof.scenario;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.ibissaddle.cli.deployment.DeploymentSpec;
import org.ibissaddle.proof.harness.TestFleet;
import org.ibissaddle.proof.harness.TestHttpClient;
import org.ibissaddle.proof.harness.Wait;
import org.ibissaddle.standins.EngineStandin;

/** State of a scenario: a running deployment and the calls that its callers have made. */
final class World implements AutoCloseable {
    private static final Executor VIRTUAL_THREADS = task -> Thread.ofVirtual().start(task);
    private static final long RESTART_INTERVAL_MS = 100;
    private static final int REQUESTS_PER_SECOND = 1_000;
    private static final long BASE_TIMEOUT_MS = 6_000;
    private static final long TIMEOUT_PER_TOKEN_MS = 50;

    final TestFleet fleet;
    final DeploymentSpec spec;
    final String note;
    final TestHttpClient http = new TestHttpClient();
    final List<Call> calls = new ArrayList<>();
    private final String model;
    private final AtomicInteger promptNumber = new AtomicInteger();
    private final AtomicBoolean closed = new AtomicBoolean();

    World(DeploymentSpec spec) throws IOException, InterruptedException {
        this.spec = spec;
        this.note = TestFleet.exampleNote(spec.name())
                .replaceAll("requests-per-second = \\d+", "requests-per-second = " + REQUESTS_PER_SECOND);
        this.model = spec.model().substring(0, spec.model().indexOf('@'));
        this.fleet = TestFleet.start(spec, note);
    }

    /** Sends a dossier under a unique prompt and waits for the response. */
    Call chat(String workspace, String instance, String dossier, int tokens) throws InterruptedException {
        String prompt = dossier + " " + promptNumber.incrementAndGet();
        return chatWithPrompt(workspace, instance, prompt, tokens);
    }

    /** Sends a prompt without changes and waits for the response. */
    Call chatWithPrompt(String workspace, String instance, String prompt, int tokens) throws InterruptedException {
        try {
            HttpResponse<String> answer = http.post(
                    fleet.callerAddress(instance),
                    "/v1/chat/completions",
                    TestHttpClient.chatBody(model, prompt, tokens, true),
                    "X-Workspace",
                    workspace,
                    "X-Deadline-Ms",
                    Long.toString(System.currentTimeMillis() + timeoutMs(tokens)));
            return new Call(model, prompt, tokens, Optional.of(answer));
        } catch (IOException e) {
            return new Call(model, prompt, tokens, Optional.empty());
        }
    }

    private static long timeoutMs(int tokens) {
        return BASE_TIMEOUT_MS + tokens * TIMEOUT_PER_TOKEN_MS;
    }

    /** Sends dossiers concurrently and waits for all responses. */
    List<Call> chatConcurrently(int callers, String workspace, String instance, int tokens) {
        List<CompletableFuture<Call>> pending = new ArrayList<>();
        for (int i = 0; i < callers; i++) {
            pending.add(chatAsync(workspace, instance, tokens));
        }
        return pending.stream().map(CompletableFuture::join).toList();
    }

    CompletableFuture<Call> chatAsync(String workspace, String instance, int tokens) {
        return CompletableFuture.supplyAsync(
                () -> {
                    try {
                        return chat(workspace, instance, "a long dossier", tokens);
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                        throw new IllegalStateException("interrupted while a call was open", e);
                    }
                },
                VIRTUAL_THREADS);
    }

    long engineRequests() {
        return fleet.engines().values().stream()
                .mapToLong(engine -> engine.stats().requests())
                .sum();
    }

    long engineCrashes() {
        return fleet.engines().values().stream()
                .mapToLong(engine -> engine.stats().crashes())
                .sum();
    }

    int executions(String key) {
        return fleet.services().values().stream()
                .mapToInt(service -> service.executionCounts().getOrDefault(key, 0))
                .sum();
    }

    int executions() {
        return fleet.services().values().stream()
                .flatMap(service -> service.executionCounts().values().stream())
                .mapToInt(Integer::intValue)
                .sum();
    }

    long activeNote(String instance) throws IOException, InterruptedException {
        String status = http.get(fleet.controlAddress(instance), "/status").body();
        return TestHttpClient.parseJson(status).at("/note/number").asLong();
    }

    void awaitNote(String instance, long number) throws InterruptedException {
        Wait.until(instance + " has note " + number + " active", () -> activeNote(instance) == number);
    }

    /** Restarts crashed engines until the scenario ends, as the platform does. */
    void restartCrashedEngines() {
        Thread.ofVirtual().start(() -> {
            while (!closed.get()) {
                fleet.engines().values().forEach(World::restartIfCrashed);
                try {
                    Thread.sleep(RESTART_INTERVAL_MS);
                } catch (InterruptedException e) {
                    return;
                }
            }
        });
    }

    private static void restartIfCrashed(EngineStandin engine) {
        try {
            if (engine.hasCrashed()) {
                engine.restart();
            }
        } catch (IOException e) {
            throw new IllegalStateException("engine " + engine.name() + " did not restart", e);
        }
    }

    @Override
    public void close() {
        closed.set(true);
        fleet.close();
    }
}
