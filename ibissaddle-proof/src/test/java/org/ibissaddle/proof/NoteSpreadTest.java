package org.ibissaddle.proof;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.http.HttpResponse;
import java.util.List;
import org.ibissaddle.cli.deployment.DeploymentSpec;
import org.ibissaddle.id.Incarnation;
import org.ibissaddle.proof.harness.TestFleet;
import org.ibissaddle.proof.harness.TestHttpClient;
import org.ibissaddle.proof.harness.Wait;
import org.ibissaddle.standins.PlatformFaults;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Release notes over real processes with faults on their links. */
class NoteSpreadTest {
    private static final long IN_FORCE_WITHIN_MS = 5_000;

    private final TestHttpClient http = new TestHttpClient();
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

    private long publish(long number) {
        long nowMs = System.currentTimeMillis();
        fleet.publish(note.replaceFirst("number = \\d+", "number = " + number));
        return nowMs;
    }

    private JsonNode status(String instance) throws Exception {
        HttpResponse<String> answer = http.get(fleet.controlAddress(instance), "/status");
        return TestHttpClient.parseJson(answer.body());
    }

    private long number(String instance) {
        try {
            return status(instance).at("/note/number").asLong();
        } catch (Exception e) {
            return 0;
        }
    }

    /** Waits until a note is in force, and compares when each instance accepted it with when it could have. */
    private void awaitEverywhere(long number, List<String> instances, long publishedAtMs) throws Exception {
        Wait.until(
                "note " + number + " is in force", () -> instances.stream().allMatch(name -> number(name) == number));
        for (String name : instances) {
            JsonNode status = status(name);
            long startedAtMs =
                    Incarnation.parse(status.at("/incarnation").asText()).startedAtMs();
            long couldAtMs = Math.max(publishedAtMs, startedAtMs);
            assertThat(status.at("/note/accepted_at_ms").asLong() - couldAtMs)
                    .as("milliseconds until note %s was in force at %s", number, name)
                    .isLessThan(IN_FORCE_WITHIN_MS);
        }
    }

    @Test
    void shouldBeInForceEverywhereThoughOneIsCutOffAndOneRestarts() throws Exception {
        List<String> names = fleet.instanceNames();
        fleet.isolateFromPlatform(names.get(0));
        long publishedAtMs = publish(101);
        fleet.process(names.get(1)).kill();
        fleet.startInstance(names.get(1));

        awaitEverywhere(101, names, publishedAtMs);
    }

    @Test
    void shouldNeverFallBackWhenThePlatformIsStale() throws Exception {
        List<String> names = fleet.instanceNames();
        awaitEverywhere(102, names, publish(102));
        publish(101);
        fleet.process(names.get(2)).kill();
        fleet.startInstance(names.get(2));
        fleet.awaitReady(names.get(2));

        assertThat(number(names.get(2))).isEqualTo(102);
        assertThat(names).allMatch(name -> number(name) == 102);
    }

    @Test
    void shouldRestartFromPeersWhileThePlatformIsDown() throws Exception {
        List<String> names = fleet.instanceNames();
        awaitEverywhere(103, names, publish(103));
        fleet.platform().setFaults(fleet.platform().faults().withOutage(PlatformFaults.Outage.RESET));
        fleet.process(names.get(3)).kill();
        fleet.startInstance(names.get(3));
        fleet.awaitReady(names.get(3));

        assertThat(number(names.get(3))).isEqualTo(103);
        assertThat(status(names.get(3)).at("/note/source").asText()).isEqualTo("peer");
        HttpResponse<String> answer =
                http.chat(fleet.callerAddress(names.get(3)), "members", "inspector", "down", 5, true);
        assertThat(answer.statusCode()).isEqualTo(200);
    }

    @Test
    void shouldRefuseABadNoteWholeAndKeepTheLastGoodOne() throws Exception {
        List<String> names = fleet.instanceNames();
        awaitEverywhere(104, names, publish(104));
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
