package org.ibissaddle.proof;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.http.HttpResponse;
import java.util.List;
import org.ibissaddle.cli.deployment.DeploymentSpec;
import org.ibissaddle.proof.harness.Http;
import org.ibissaddle.proof.harness.TestFleet;
import org.ibissaddle.proof.harness.Wait;
import org.ibissaddle.standins.PlatformFaults;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Release notes over real processes with faults on their links. */
class NoteSpreadTest {
    private static final long IN_FORCE_WITHIN_MS = 5_000;

    private final Http http = new Http();
    private TestFleet fleet;
    private String note;

    @BeforeEach
    void startFleet() throws Exception {
        note = TestFleet.exampleNote("cooperative");
        fleet = TestFleet.start(DeploymentSpec.cooperative(), note);
    }

    @AfterEach
    void stopFleet() {
        fleet.close();
    }

    private void publish(long number) {
        fleet.publish(note.replaceFirst("number = \\d+", "number = " + number));
    }

    private JsonNode status(String instance) throws Exception {
        HttpResponse<String> answer = http.get(fleet.control(instance), "/status");
        return Http.json(answer.body());
    }

    private long number(String instance) {
        try {
            return status(instance).at("/note/number").asLong();
        } catch (Exception e) {
            return 0;
        }
    }

    private void awaitEverywhere(long number, List<String> instances) throws InterruptedException {
        long fromMs = System.currentTimeMillis();
        Wait.until(
                "note " + number + " is in force", () -> instances.stream().allMatch(name -> number(name) == number));
        assertThat(System.currentTimeMillis() - fromMs).isLessThan(IN_FORCE_WITHIN_MS);
    }

    @Test
    void shouldBeInForceEverywhereThoughOneIsCutOffAndOneRestarts() throws Exception {
        List<String> names = fleet.instances();
        fleet.cutPlatform(names.get(0));
        publish(101);
        fleet.process(names.get(1)).kill();
        fleet.startInstance(names.get(1));

        awaitEverywhere(101, names);
    }

    @Test
    void shouldNeverFallBackWhenThePlatformIsStale() throws Exception {
        List<String> names = fleet.instances();
        publish(102);
        awaitEverywhere(102, names);
        publish(101);
        fleet.process(names.get(2)).kill();
        fleet.startInstance(names.get(2));
        fleet.awaitReady(names.get(2));

        assertThat(number(names.get(2))).isEqualTo(102);
        assertThat(names).allMatch(name -> number(name) == 102);
    }

    @Test
    void shouldRestartFromPeersWhileThePlatformIsDown() throws Exception {
        List<String> names = fleet.instances();
        publish(103);
        awaitEverywhere(103, names);
        fleet.platform().setFaults(fleet.platform().faults().withOutage(PlatformFaults.Outage.RESET));
        fleet.process(names.get(3)).kill();
        fleet.startInstance(names.get(3));
        fleet.awaitReady(names.get(3));

        assertThat(number(names.get(3))).isEqualTo(103);
        assertThat(status(names.get(3)).at("/note/source").asText()).isEqualTo("peer");
        HttpResponse<String> answer = http.chat(fleet.caller(names.get(3)), "members", "inspector", "down", 5, true);
        assertThat(answer.statusCode()).isEqualTo(200);
    }

    @Test
    void shouldRefuseABadNoteWholeAndKeepTheLastGoodOne() throws Exception {
        List<String> names = fleet.instances();
        publish(104);
        awaitEverywhere(104, names);
        fleet.publish(note.replaceFirst("number = \\d+", "number = 105") + "\n[pool broken]\nkind = neither\n");

        Wait.until(
                "the refusal is shown",
                () -> names.stream().anyMatch(name -> trouble(name).equals("refused")));
        assertThat(names).allMatch(name -> number(name) == 104);
    }

    private String trouble(String instance) {
        try {
            return status(instance).at("/note/trouble").asText();
        } catch (Exception e) {
            return "";
        }
    }
}
