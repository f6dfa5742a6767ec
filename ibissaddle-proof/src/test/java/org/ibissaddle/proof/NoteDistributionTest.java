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

/** Distribution of release notes between real gateway processes whose links and platform fail. */
class NoteDistributionTest {
    private static final long MAX_ACTIVATION_DELAY_MS = 5_000;

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
        HttpResponse<String> response = http.get(fleet.controlAddress(instance), "/status");
        return TestHttpClient.parseJson(response.body());
    }

    private long activeNote(String instance) {
        try {
            return status(instance).at("/note/number").asLong();
        } catch (Exception e) {
            return 0;
        }
    }

    /**
     * Waits until a note is active at all instances, and verifies that each accepted it soon after it could have done
     * so.
     */
    private void awaitActiveEverywhere(long number, List<String> instances, long publishedAtMs) throws Exception {
        Wait.until(
                "note " + number + " is active at all instances",
                () -> instances.stream().allMatch(name -> activeNote(name) == number));
        for (String name : instances) {
            JsonNode status = status(name);
            long startedAtMs =
                    Incarnation.parse(status.at("/incarnation").asText()).startedAtMs();
            long possibleAtMs = Math.max(publishedAtMs, startedAtMs);
            assertThat(status.at("/note/accepted_at_ms").asLong() - possibleAtMs)
                    .as("milliseconds until note %s was active at %s", number, name)
                    .isLessThan(MAX_ACTIVATION_DELAY_MS);
        }
    }

    @Test
    void shouldReachAllInstancesWhenOneIsIsolatedAndOneRestarts() throws Exception {
        List<String> names = fleet.instanceNames();
        fleet.isolateFromPlatform(names.get(0));
        long publishedAtMs = publish(101);
        fleet.process(names.get(1)).kill();
        fleet.startInstance(names.get(1));

        awaitActiveEverywhere(101, names, publishedAtMs);
    }

    @Test
    void shouldNotRevertWhenThePlatformIsStale() throws Exception {
        List<String> names = fleet.instanceNames();
        awaitActiveEverywhere(102, names, publish(102));
        publish(101);
        fleet.process(names.get(2)).kill();
        fleet.startInstance(names.get(2));
        fleet.awaitReady(names.get(2));

        assertThat(activeNote(names.get(2))).isEqualTo(102);
        assertThat(names).allMatch(name -> activeNote(name) == 102);
    }

    @Test
    void shouldRestartFromPeersWhileThePlatformIsDown() throws Exception {
        List<String> names = fleet.instanceNames();
        awaitActiveEverywhere(103, names, publish(103));
        fleet.platform().setFaults(fleet.platform().faults().withOutage(PlatformFaults.Outage.RESET));
        fleet.process(names.get(3)).kill();
        fleet.startInstance(names.get(3));
        fleet.awaitReady(names.get(3));

        assertThat(activeNote(names.get(3))).isEqualTo(103);
        assertThat(status(names.get(3)).at("/note/source").asText()).isEqualTo("peer");
        HttpResponse<String> response =
                http.chat(fleet.callerAddress(names.get(3)), "members", "inspector", "down", 5, true);
        assertThat(response.statusCode()).isEqualTo(200);
    }

    @Test
    void shouldRejectAnInvalidNoteAndKeepTheLastValidOne() throws Exception {
        List<String> names = fleet.instanceNames();
        awaitActiveEverywhere(104, names, publish(104));
        fleet.publish(note.replaceFirst("number = \\d+", "number = 105") + "\n[pool broken]\nkind = neither\n");

        Wait.until(
                "an instance reports the rejected note",
                () -> names.stream().anyMatch(name -> noteError(name).equals("refused")));
        assertThat(names).allMatch(name -> activeNote(name) == 104);
    }

    private String noteError(String instance) {
        try {
            return status(instance).at("/note/trouble").asText();
        } catch (Exception e) {
            return "";
        }
    }
}
