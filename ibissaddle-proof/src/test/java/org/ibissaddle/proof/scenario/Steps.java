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

/** What operators and callers do, and what must hold. */
public final class Steps {
    private static final int TOKENS = 20;
    private static final int LONG_ANSWER = 400;

    private World world;
    private final Map<Integer, Long> revisions = new HashMap<>();
    private final Map<String, GatewayProcess> stopped = new HashMap<>();
    private final List<CompletableFuture<Call>> open = new ArrayList<>();
    private final List<HttpResponse<String>> confirmations = new ArrayList<>();
    private String ticket = "";
    private String confirmationPath = "";
    private String confirmingWorkspace = "";
    private Map<String, Long> engineWork = Map.of();

    /** Ends all processes of the scenario. */
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

    // Calls of models

    @When("a caller of workspace {string} sends a dossier to instance {string}")
    public void sendDossier(String workspace, String instance) throws InterruptedException {
        world.calls.add(world.chat(workspace, instance, "a dossier", TOKENS));
    }

    @When("{int} callers of workspace {string} send dossiers to instance {string}")
    public void sendDossiers(int callers, String workspace, String instance) {
        world.calls.addAll(world.chatTogether(callers, workspace, instance, TOKENS));
    }

    @When("a caller of workspace {string} waits for a long answer from instance {string}")
    public void openLongAnswer(String workspace, String instance) throws InterruptedException {
        long before = world.requestsAtEngines();
        open.add(world.chatLater(workspace, instance, LONG_ANSWER));
        Wait.until("an engine works on the long answer", () -> world.requestsAtEngines() > before);
    }

    @When("a caller of workspace {string} sends the dossier {string} to instance {string} {int} times")
    public void sendAgain(String workspace, String dossier, String instance, int times) throws InterruptedException {
        for (int i = 0; i < times; i++) {
            world.calls.add(world.chatExactly(workspace, instance, dossier, TOKENS));
        }
    }

    @Then("the caller has its whole answer")
    public void lastIsWhole() throws IOException {
        assertThat(world.calls.getLast().whole())
                .as("%s", world.calls.getLast())
                .isTrue();
    }

    @Then("every caller has its whole answer")
    public void allAreWhole() throws IOException {
        for (Call call : world.calls) {
            assertThat(call.whole()).as("%s", call).isTrue();
        }
    }

    @Then("every caller has its whole answer or sees that it has not")
    public void noneIsSilentlyCut() throws IOException {
        for (Call call : world.calls) {
            assertThat(call.whole() || call.visiblyFailed()).as("%s", call).isTrue();
        }
    }

    @Then("the long answer is whole")
    public void longAnswersAreWhole() throws IOException {
        for (CompletableFuture<Call> call : open) {
            assertThat(call.join().whole()).as("%s", call.join()).isTrue();
        }
    }

    @Then("the caller is refused as {string} and the request was not run")
    public void refused(String type) throws IOException {
        Call last = world.calls.getLast();
        assertThat(last.refusalType()).as("%s", last).isEqualTo(type);
        assertThat(last.ran()).isEqualTo("not-run");
    }

    @Then("the caller is not served")
    public void notServed() throws IOException {
        assertThat(world.calls.getLast().visiblyFailed())
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
    public void onlyInside(String region) {
        for (DeploymentSpec.Place place : world.spec.engines()) {
            if (!place.region().equals(region)) {
                long requests = world.fleet.engines().get(place.name()).stats().requests();
                assertThat(requests).as("requests at %s", place.name()).isZero();
            }
        }
    }

    @Then("no instance tells the name of workspace {string} in its time line")
    public void nameStaysInside(String workspace) throws IOException, InterruptedException {
        for (String instance : world.fleet.instanceNames()) {
            String events = world.http
                    .get(world.fleet.controlAddress(instance), "/timeline")
                    .body();
            assertThat(events).doesNotContain(workspace);
        }
    }

    @Then("no request was sent on more than once")
    public void noLoops() {
        Timeline line = new TimelineCollector()
                .collect(world.fleet.instanceNames().stream()
                        .map(name -> Address.parse(world.fleet.controlAddress(name)))
                        .toList());
        long forwarded = line.entries().stream()
                .filter(entry -> entry.event() instanceof Event.Forwarded)
                .count();
        assertThat(line.gaps()).isEmpty();
        assertThat(forwarded).isLessThanOrEqualTo(world.calls.size());
    }

    // Calls that may run once only

    @Given("a caller of workspace {string} holds a ticket for {string} from instance {string}")
    public void takeTicket(String workspace, String path, String instance) throws IOException, InterruptedException {
        confirmationPath = path;
        confirmingWorkspace = workspace;
        Wait.until(instance + " gives a ticket", () -> {
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
    public void confirmEverywhere() {
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
    public void ran(int times) {
        assertThat(world.arrivals()).isEqualTo(times);
    }

    @Then("the confirmation ran at most once")
    public void ranAtMostOnce() {
        assertThat(world.arrivals()).isLessThanOrEqualTo(1);
    }

    @Then("no refusal said that a confirmation which ran was not run")
    public void notRunIsTrue() throws IOException {
        for (HttpResponse<String> answer : confirmations) {
            if (answer.headers().firstValue("X-Ran").orElse("").equals("not-run")) {
                assertThat(world.arrivals()).as(answer.body()).isZero();
            }
        }
    }

    @Then("the confirmation is refused as {string} and was not run")
    public void confirmationRefused(String type) throws IOException {
        JsonNode body = TestHttpClient.parseJson(confirmations.getLast().body());
        assertThat(body.at("/error/type").asText()).isEqualTo(type);
        assertThat(body.at("/error/ran").asText()).isEqualTo("not-run");
    }

    @When("the plain services lose the next answer after the call has run")
    public void loseAnswers() {
        world.fleet.services().values().forEach(service -> service.setFaults(new ServiceFaults(0, 1, 0, 0, false, 0)));
    }

    @When("the plain services ask for the next call to be sent again")
    public void askAgain() {
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
    public void cutRegion(String region) {
        world.fleet.isolateRegion(region);
    }

    @When("the network heals")
    public void heal() {
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

    @When("instance {string} wakes")
    public void resume(String instance) throws IOException, InterruptedException {
        world.fleet.process(instance).resume();
    }

    @When("instance {string} starts again")
    public void restart(String instance) throws IOException, InterruptedException {
        world.fleet.startInstance(instance);
    }

    @Then("instance {string} is ready")
    public void ready(String instance) throws InterruptedException {
        world.fleet.awaitReady(instance);
    }

    @When("instance {string} is asked to stop")
    public void stop(String instance) throws IOException, InterruptedException {
        stopped.put(instance, world.fleet.process(instance));
        world.fleet.process(instance).terminate();
        Wait.until(
                instance + " drains",
                () -> world.fleet.process(instance).outputLines().stream()
                        .anyMatch(line -> line.contains("event=draining")));
    }

    @Then("instance {string} ends by itself without a fault")
    public void endsCleanly(String instance) throws InterruptedException {
        GatewayProcess process = stopped.get(instance);
        process.awaitExit();
        assertThat(process.outputLines()).anyMatch(line -> line.contains("event=stopped"));
        assertThat(process.outputLines()).noneMatch(line -> line.contains("request-failed"));
    }

    @When("the engines cut, repeat, cross and leave out pieces of their answers")
    public void damageAnswers() {
        EngineFaults faults = EngineFaults.none()
                .withCutAfterEvents(5)
                .withDuplicateEvery(4)
                .withGapEvery(7)
                .withCrossNext(1);
        world.fleet.engines().values().forEach(engine -> engine.setFaults(faults));
    }

    @When("engine {string} cuts its next answer after {int} pieces")
    public void cutAnswer(String engine, int pieces) {
        world.fleet.engines().get(engine).setFaults(EngineFaults.none().withCutAfterEvents(pieces));
    }

    @When("every engine of region {string} takes no new work")
    public void drainEngines(String region) {
        for (DeploymentSpec.Place place : world.spec.engines()) {
            if (place.region().equals(region)) {
                world.fleet
                        .engines()
                        .get(place.name())
                        .setFaults(EngineFaults.none().withDrain(true));
            }
        }
    }

    @When("no engine takes new work")
    public void drainAllEngines() {
        world.fleet
                .engines()
                .values()
                .forEach(engine -> engine.setFaults(EngineFaults.none().withDrain(true)));
    }

    @Given("every engine crashes on the dossier {string} and is started again")
    public void poison(String dossier) {
        world.fleet
                .engines()
                .values()
                .forEach(engine -> engine.setFaults(EngineFaults.none().withCrashOn(dossier)));
        world.restartCrashedEngines();
    }

    @Then("at most {int} engines have crashed")
    public void crashesAreBounded(int most) {
        assertThat(world.crashes()).isBetween(1L, (long) most);
    }

    @When("the list of live instances says that engine {string} leaves")
    public void engineLeaves(String engine) throws InterruptedException {
        world.fleet.setServerState(engine, "leaving");
        for (String instance : world.fleet.instanceNames()) {
            Wait.until(instance + " knows that " + engine + " leaves", () -> !believesLive(instance, engine));
        }
        engineWork = Map.of(engine, world.fleet.engines().get(engine).stats().requests());
    }

    private boolean believesLive(String instance, String engine) throws IOException, InterruptedException {
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
    public void noNewWork(String engine) {
        assertThat(world.fleet.engines().get(engine).stats().requests()).isEqualTo(engineWork.get(engine));
    }

    // Release notes

    @When("note {int} is published")
    public void publish(int number) {
        String text = world.note.replace("number = 1\n", "number = " + number + "\n");
        revisions.put(number, world.fleet.platform().putConfig("note", text.getBytes(StandardCharsets.UTF_8)));
    }

    @When("the platform goes back to what it had before note {int}")
    public void pin(int number) {
        long revision = revisions.get(number) - 1;
        world.fleet.platform().setFaults(PlatformFaults.none().withPinnedRevision(revision));
    }

    @Then("note {int} is in force at every instance")
    public void inForceEverywhere(int number) throws InterruptedException {
        for (String instance : world.fleet.instanceNames()) {
            world.awaitNote(instance, number);
        }
    }

    @Then("note {int} is in force at instance {string}")
    public void inForce(int number, String instance) throws InterruptedException {
        world.awaitNote(instance, number);
    }

    @Then("instance {string} never went back behind note {int}")
    public void neverBack(String instance, int number) {
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

    @When("a note with a fault is published")
    public void publishFault() {
        world.fleet.publish("[note]\nnumber = 9\n[workspace nowhere]\nhome = Atlantis\n");
    }

    @Then("instance {string} says loudly that it refused the note")
    public void refusedLoudly(String instance) throws InterruptedException {
        Wait.until(
                instance + " logs the refusal",
                () -> world.fleet.process(instance).outputLines().stream()
                        .anyMatch(line -> line.contains("level=warning") && line.contains("note")));
    }
}
