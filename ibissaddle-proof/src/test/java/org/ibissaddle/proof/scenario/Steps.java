package org.ibissaddle.proof.scenario;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import io.cucumber.java.After;
import io.cucumber.java.ParameterType;
import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.io.IOException;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.ibissaddle.cli.deployment.DeploymentSpec;
import org.ibissaddle.cli.timeline.TimelineCollector;
import org.ibissaddle.id.Address;
import org.ibissaddle.proof.harness.GatewayProcess;
import org.ibissaddle.proof.harness.TestFleet;
import org.ibissaddle.proof.harness.TestHttpClient;
import org.ibissaddle.proof.harness.Wait;
import org.ibissaddle.standins.EngineFaults;
import org.ibissaddle.standins.PlatformFaults;
import org.ibissaddle.standins.ServiceFaults;
import org.ibissaddle.timeline.Event;
import org.ibissaddle.timeline.Timeline;
import org.ibissaddle.timeline.TimelineEntry;

/** Step definitions of the scenarios: actions of operators and callers, faults, and expectations. */
public final class Steps {
    private static final int TOKENS = 20;
    private static final int LONG_ANSWER_TOKENS = 400;

    private World world;
    private final Map<Integer, Long> noteRevisions = new HashMap<>();
    private final Map<String, GatewayProcess> terminated = new HashMap<>();
    private final List<CompletableFuture<Call>> openCalls = new ArrayList<>();
    private final List<HttpResponse<String>> confirmations = new ArrayList<>();
    private String ticket = "";
    private String confirmationPath = "";
    private String confirmingWorkspace = "";
    private Map<String, Long> engineRequestsBefore = Map.of();

    /** Stops all processes and stand-ins of the scenario. */
    @After
    public void close() {
        if (world != null) {
            world.close();
        }
    }

    @ParameterType("cooperative|stratka")
    public DeploymentSpec deployment(String name) {
        return name.equals("stratka") ? DeploymentSpec.stratka() : DeploymentSpec.cooperative();
    }

    @Given("the three regions of {deployment}")
    public void start(DeploymentSpec spec) throws IOException, InterruptedException {
        world = new World(spec);
    }

    // Model calls

    @When("a caller of workspace {string} sends a dossier to instance {string}")
    public void sendDossier(String workspace, String instance) throws InterruptedException {
        world.calls.add(world.chat(workspace, instance, "a dossier", TOKENS));
    }

    @When("{int} callers of workspace {string} send dossiers to instance {string}")
    public void sendDossiers(int callers, String workspace, String instance) {
        world.calls.addAll(world.chatConcurrently(callers, workspace, instance, TOKENS));
    }

    @When("a caller of workspace {string} waits for a long answer from instance {string}")
    public void openLongAnswer(String workspace, String instance) throws InterruptedException {
        long before = world.engineRequests();
        openCalls.add(world.chatAsync(workspace, instance, LONG_ANSWER_TOKENS));
        Wait.until("an engine has received the request for the long answer", () -> world.engineRequests() > before);
    }

    @When("a caller of workspace {string} sends the dossier {string} to instance {string} {int} times")
    public void sendRepeatedly(String workspace, String dossier, String instance, int times)
            throws InterruptedException {
        for (int i = 0; i < times; i++) {
            world.calls.add(world.chatWithPrompt(workspace, instance, dossier, TOKENS));
        }
    }

    @Then("the caller has its whole answer")
    public void lastCallIsComplete() throws IOException {
        assertThat(world.calls.getLast().isComplete())
                .as("%s", world.calls.getLast())
                .isTrue();
    }

    @Then("every caller has its whole answer")
    public void allCallsAreComplete() throws IOException {
        for (Call call : world.calls) {
            assertThat(call.isComplete()).as("%s", call).isTrue();
        }
    }

    @Then("every caller has its whole answer or sees that it has not")
    public void noCallIsSilentlyIncomplete() throws IOException {
        for (Call call : world.calls) {
            assertThat(call.isComplete() || call.failedVisibly()).as("%s", call).isTrue();
        }
    }

    @Then("the long answer is complete")
    public void longAnswersAreComplete() throws IOException {
        for (CompletableFuture<Call> call : openCalls) {
            assertThat(call.join().isComplete()).as("%s", call.join()).isTrue();
        }
    }

    @Then("the caller is refused as {string} and the request was not run")
    public void callIsRefused(String type) throws IOException {
        Call last = world.calls.getLast();
        assertThat(last.refusalType()).as("%s", last).isEqualTo(type);
        assertThat(last.ran()).isEqualTo("not-run");
    }

    @Then("the caller is not served")
    public void callIsNotServed() throws IOException {
        assertThat(world.calls.getLast().failedVisibly())
                .as("%s", world.calls.getLast())
                .isTrue();
    }

    @Then("the refusal names instance {string}")
    public void refusalNames(String instance) throws IOException {
        JsonNode body = TestHttpClient.parseJson(
                world.calls.getLast().response().orElseThrow().body());
        assertThat(body.at("/error/instances/0").asText()).isEqualTo(world.fleet.callerAddress(instance));
    }

    @Then("no engine outside region {string} has seen a request")
    public void noRequestsOutsideRegion(String region) {
        for (DeploymentSpec.NodeSpec node : world.spec.engines()) {
            if (!node.region().equals(region)) {
                long requests = world.fleet.engines().get(node.name()).stats().requests();
                assertThat(requests).as("requests at %s", node.name()).isZero();
            }
        }
    }

    @Then("no instance exposes the name of workspace {string} in its timeline")
    public void workspaceIsNotExposed(String workspace) throws IOException, InterruptedException {
        for (String instance : world.fleet.instanceNames()) {
            String events = world.http
                    .get(world.fleet.controlAddress(instance), "/timeline")
                    .body();
            assertThat(events).doesNotContain(workspace);
        }
    }

    @Then("no request was forwarded more than once")
    public void noRequestLoops() {
        Timeline timeline = new TimelineCollector()
                .collect(world.fleet.instanceNames().stream()
                        .map(name -> Address.parse(world.fleet.controlAddress(name)))
                        .toList());
        long forwarded = timeline.entries().stream()
                .filter(entry -> entry.event() instanceof Event.Forwarded)
                .count();
        assertThat(timeline.gaps()).isEmpty();
        assertThat(forwarded).isLessThanOrEqualTo(world.calls.size());
    }

    // Non-idempotent calls

    @Given("a caller of workspace {string} holds a ticket for {string} from instance {string}")
    public void requestTicket(String workspace, String path, String instance) throws IOException, InterruptedException {
        confirmationPath = path;
        confirmingWorkspace = workspace;
        Wait.until(instance + " issues a ticket", () -> {
            ticket = world.http
                    .discover(world.fleet.controlAddress(instance), workspace, "POST", path)
                    .path("ticket")
                    .asText("");
            return !ticket.isEmpty();
        });
    }

    @When("the confirmation is sent to instance {string}")
    public void confirm(String instance) throws InterruptedException {
        try {
            confirmations.add(world.http.post(
                    world.fleet.callerAddress(instance),
                    confirmationPath,
                    "{\"lot\":7}",
                    "X-Workspace",
                    confirmingWorkspace,
                    "X-Ticket",
                    ticket));
        } catch (IOException e) {
            assertThat(e).hasMessageNotContaining("no such instance");
        }
    }

    @When("the confirmation is sent to all instances at once")
    public void confirmAtAllInstances() {
        List<CompletableFuture<Void>> sent = new ArrayList<>();
        for (String instance : world.fleet.instanceNames()) {
            sent.add(CompletableFuture.runAsync(
                    () -> {
                        try {
                            confirm(instance);
                        } catch (InterruptedException e) {
                            Thread.currentThread().interrupt();
                        }
                    },
                    task -> Thread.ofVirtual().start(task)));
        }
        sent.forEach(CompletableFuture::join);
    }

    @When("a confirmation for {string} of workspace {string} is sent to instance {string} without a ticket")
    public void confirmWithoutTicket(String path, String workspace, String instance)
            throws IOException, InterruptedException {
        confirmations.add(world.http.post(world.fleet.callerAddress(instance), path, "{}", "X-Workspace", workspace));
    }

    @Then("the confirmation ran {int} time(s)")
    public void confirmationRan(int times) {
        assertThat(world.executions()).isEqualTo(times);
    }

    @Then("the confirmation ran at most once")
    public void confirmationRanAtMostOnce() {
        assertThat(world.executions()).isLessThanOrEqualTo(1);
    }

    @Then("no confirmation that ran is reported as not run")
    public void notRunIsNeverFalse() throws IOException {
        for (HttpResponse<String> answer : confirmations) {
            if (answer.headers().firstValue("X-Ran").orElse("").equals("not-run")) {
                assertThat(world.executions()).as(answer.body()).isZero();
            }
        }
    }

    @Then("the confirmation is refused as {string} and was not run")
    public void confirmationIsRefused(String type) throws IOException {
        JsonNode body = TestHttpClient.parseJson(confirmations.getLast().body());
        assertThat(body.at("/error/type").asText()).isEqualTo(type);
        assertThat(body.at("/error/ran").asText()).isEqualTo("not-run");
    }

    @When("the plain services run the next call and close the connection without a response")
    public void closeBeforeResponse() {
        world.fleet.services().values().forEach(service -> service.setFaults(new ServiceFaults(0, 1, 0, 0, false, 0)));
    }

    @When("the plain services run the next call and invite a retry with 503 or a redirect")
    public void inviteRetry() {
        world.fleet.services().values().forEach(service -> service.setFaults(new ServiceFaults(0, 0, 1, 1, false, 0)));
    }

    @When("the plain services refuse connections from instance {string}")
    public void refuseConnections(String instance) {
        for (String service : world.fleet.services().keySet()) {
            world.fleet.proxy().refuse(TestFleet.link(instance, service));
        }
    }

    // Faults

    @When("region {string} is cut off from the platform and the other regions")
    public void isolateRegion(String region) {
        world.fleet.isolateRegion(region);
    }

    @When("the network heals")
    public void clearFaults() {
        world.fleet.clearFaults();
    }

    @When("instance {string} is killed")
    public void kill(String instance) {
        world.fleet.process(instance).kill();
    }

    @When("instance {string} is paused")
    public void pause(String instance) throws IOException, InterruptedException {
        world.fleet.process(instance).pause();
    }

    @When("instance {string} is resumed")
    public void resume(String instance) throws IOException, InterruptedException {
        world.fleet.process(instance).resume();
    }

    @When("instance {string} is restarted")
    public void restart(String instance) throws IOException, InterruptedException {
        world.fleet.startInstance(instance);
    }

    @Then("instance {string} is ready")
    public void instanceIsReady(String instance) throws InterruptedException {
        world.fleet.awaitReady(instance);
    }

    @When("instance {string} is asked to stop")
    public void terminate(String instance) throws IOException, InterruptedException {
        terminated.put(instance, world.fleet.process(instance));
        world.fleet.process(instance).terminate();
        Wait.until(
                instance + " is draining",
                () -> world.fleet.process(instance).outputLines().stream()
                        .anyMatch(line -> line.contains("event=draining")));
    }

    @Then("instance {string} exits gracefully without failed requests")
    public void exitsGracefully(String instance) throws InterruptedException {
        GatewayProcess process = terminated.get(instance);
        process.awaitExit();
        assertThat(process.outputLines()).anyMatch(line -> line.contains("event=stopped"));
        assertThat(process.outputLines()).noneMatch(line -> line.contains("request-failed"));
    }

    @When("the engines truncate, duplicate, mix up and drop events of their answers")
    public void injectStreamFaults() {
        EngineFaults faults = EngineFaults.none()
                .withCutAfterEvents(5)
                .withDuplicateEvery(4)
                .withGapEvery(7)
                .withCrossNext(1);
        world.fleet.engines().values().forEach(engine -> engine.setFaults(faults));
    }

    @When("engine {string} truncates its next answer after {int} events")
    public void truncateAnswer(String engine, int events) {
        world.fleet.engines().get(engine).setFaults(EngineFaults.none().withCutAfterEvents(events));
    }

    @When("every engine of region {string} rejects new requests")
    public void drainEngines(String region) {
        for (DeploymentSpec.NodeSpec node : world.spec.engines()) {
            if (node.region().equals(region)) {
                world.fleet
                        .engines()
                        .get(node.name())
                        .setFaults(EngineFaults.none().withDrain(true));
            }
        }
    }

    @When("every engine rejects new requests")
    public void drainAllEngines() {
        world.fleet
                .engines()
                .values()
                .forEach(engine -> engine.setFaults(EngineFaults.none().withDrain(true)));
    }

    @Given("every engine crashes on the dossier {string} and is started again")
    public void crashOnDossier(String dossier) {
        world.fleet
                .engines()
                .values()
                .forEach(engine -> engine.setFaults(EngineFaults.none().withCrashOn(dossier)));
        world.restartCrashedEngines();
    }

    @Then("at most {int} engines have crashed")
    public void crashesAreAtMost(int limit) {
        assertThat(world.engineCrashes()).isBetween(1L, (long) limit);
    }

    @When("the platform lists engine {string} as leaving")
    public void listEngineAsLeaving(String engine) throws InterruptedException {
        world.fleet.setServerState(engine, "leaving");
        for (String instance : world.fleet.instanceNames()) {
            Wait.until(instance + " has recorded that " + engine + " leaves", () -> !listsAsLive(instance, engine));
        }
        engineRequestsBefore =
                Map.of(engine, world.fleet.engines().get(engine).stats().requests());
    }

    private boolean listsAsLive(String instance, String engine) throws IOException, InterruptedException {
        JsonNode status = TestHttpClient.parseJson(
                world.http.get(world.fleet.controlAddress(instance), "/status").body());
        for (JsonNode server : status.path("servers")) {
            if (server.path("name").asText().equals(engine)) {
                return server.path("health").asText().equals("LIVE");
            }
        }
        return false;
    }

    @Then("engine {string} got no new work")
    public void engineReceivedNoNewRequests(String engine) {
        assertThat(world.fleet.engines().get(engine).stats().requests()).isEqualTo(engineRequestsBefore.get(engine));
    }

    // Release notes

    @When("note {int} is published")
    public void publish(int number) {
        String text = world.note.replace("number = 1\n", "number = " + number + "\n");
        noteRevisions.put(number, world.fleet.platform().putConfig("note", text.getBytes(StandardCharsets.UTF_8)));
    }

    @When("the platform reverts to the configuration before note {int}")
    public void revertPlatform(int number) {
        long revision = noteRevisions.get(number) - 1;
        world.fleet.platform().setFaults(PlatformFaults.none().withPinnedRevision(revision));
    }

    @Then("note {int} is active at every instance")
    public void noteIsActiveEverywhere(int number) throws InterruptedException {
        for (String instance : world.fleet.instanceNames()) {
            world.awaitNote(instance, number);
        }
    }

    @Then("note {int} is active at instance {string}")
    public void noteIsActive(int number, String instance) throws InterruptedException {
        world.awaitNote(instance, number);
    }

    @Then("instance {string} never activated an older note after a newer one, and activated note {int}")
    public void noteNeverReverted(String instance, int number) {
        Address control = Address.parse(world.fleet.controlAddress(instance));
        List<Long> numbers = new ArrayList<>();
        for (TimelineEntry entry :
                new TimelineCollector().collect(List.of(control)).entries()) {
            if (entry.event() instanceof Event.NoteInForce note) {
                numbers.add(note.number());
            }
        }
        assertThat(numbers).isSorted().contains((long) number);
    }

    @When("an invalid note is published")
    public void publishInvalidNote() {
        world.fleet.publish("[note]\nnumber = 9\n[workspace nowhere]\nhome = Atlantis\n");
    }

    @Then("instance {string} logs a warning about the note")
    public void warnsAboutNote(String instance) throws InterruptedException {
        Wait.until(
                instance + " logs the warning",
                () -> world.fleet.process(instance).outputLines().stream()
                        .anyMatch(line -> line.contains("level=warning") && line.contains("note")));
    }
}
