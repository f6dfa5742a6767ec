package org.ibissaddle.proof;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.http.HttpResponse;
import java.util.List;
import org.ibissaddle.cli.deployment.DeploymentSpec;
import org.ibissaddle.proof.harness.TestFleet;
import org.ibissaddle.proof.harness.TestHttpClient;
import org.ibissaddle.proof.harness.Wait;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Handling of backend servers that leave, by real gateway processes, also after an instance was paused. */
class LeavingServerTest {
    private final TestHttpClient http = new TestHttpClient();
    private TestFleet fleet;

    @BeforeEach
    void startFleet() throws Exception {
        fleet = TestFleet.start(DeploymentSpec.cooperative(), TestFleet.exampleNote("cooperative"));
    }

    @AfterEach
    void stopFleet() {
        fleet.close();
    }

    private String health(String instance, String server) throws Exception {
        JsonNode status = TestHttpClient.parseJson(
                http.get(fleet.controlAddress(instance), "/status").body());
        for (JsonNode entry : status.path("servers")) {
            if (entry.path("name").asText().equals(server)) {
                return entry.path("health").asText();
            }
        }
        return "";
    }

    private List<String> instancesListing(String server) {
        return fleet.instanceNames().stream()
                .filter(name -> listsServer(name, server))
                .toList();
    }

    private boolean listsServer(String instance, String server) {
        try {
            return !health(instance, server).isEmpty();
        } catch (Exception e) {
            return false;
        }
    }

    @Test
    void shouldLearnFromTheServerWhenThePlatformListsItAsLive() throws Exception {
        String server = fleet.engines().keySet().iterator().next();
        List<String> names = instancesListing(server);
        assertThat(names).isNotEmpty();
        fleet.engines()
                .get(server)
                .setFaults(fleet.engines().get(server).faults().withDrain(true));

        Wait.until("all instances have recorded that the server leaves", () -> {
            for (String name : names) {
                if (!health(name, server).equals("LEAVING")) {
                    return false;
                }
            }
            return true;
        });
    }

    @Test
    void shouldNotDispatchOnStaleStateAfterAPause() throws Exception {
        String server = fleet.engines().keySet().iterator().next();
        String name = instancesListing(server).getFirst();
        fleet.process(name).pause();
        fleet.engines()
                .get(server)
                .setFaults(fleet.engines().get(server).faults().withDrain(true));
        Thread.sleep(4_000);
        long requestsBefore = fleet.engines().get(server).stats().requests();
        fleet.process(name).resume();
        HttpResponse<String> response =
                http.chat(fleet.callerAddress(name), "members", "inspector", "after the pause", 5, true);

        assertThat(response.statusCode()).isEqualTo(200);
        assertThat(fleet.engines().get(server).stats().requests()).isEqualTo(requestsBefore);

        Wait.until(
                "the instance has recorded that the server leaves",
                () -> health(name, server).equals("LEAVING"));
    }
}
