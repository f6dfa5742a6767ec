package org.ibissaddle.proof;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.http.HttpResponse;
import org.ibissaddle.cli.deployment.DeploymentSpec;
import org.ibissaddle.proof.harness.TestFleet;
import org.ibissaddle.proof.harness.TestHttpClient;
import org.ibissaddle.standins.ResponseText;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class EndToEndTest {
    private static final int MAX_TOKENS = 30;

    private static TestFleet fleet;

    private final TestHttpClient http = new TestHttpClient();

    @BeforeAll
    static void startFleet() throws Exception {
        fleet = TestFleet.start(DeploymentSpec.cooperative(), TestFleet.exampleNote("cooperative"));
    }

    @AfterAll
    static void stopFleet() {
        fleet.close();
    }

    @Nested
    class ModelCalls {
        @Test
        void shouldStreamTheCompleteAnswer() throws Exception {
            HttpResponse<String> response =
                    http.chat(fleet.callerAddress("da-1-a"), "members", "inspector", "a dossier", MAX_TOKENS, true);

            assertThat(response.statusCode()).isEqualTo(200);
            assertThat(response.body()).contains("data: [DONE]");
            assertThat(TestHttpClient.streamedText(response.body()))
                    .isEqualTo(ResponseText.textFor("inspector", "a dossier", MAX_TOKENS));
        }

        @Test
        void shouldRefuseABoundRequestInAnotherRegion() throws Exception {
            HttpResponse<String> response = http.chat(
                    fleet.callerAddress("ub-1-a"), "darkhan-yard", "inspector", "a dossier", MAX_TOKENS, true);

            assertThat(response.statusCode()).isEqualTo(421);
            assertThat(TestHttpClient.parseJson(response.body())
                            .at("/error/ran")
                            .asText())
                    .isEqualTo("not-run");
            assertThat(TestHttpClient.parseJson(response.body())
                            .at("/error/instances/0")
                            .asText())
                    .isEqualTo(fleet.callerAddress("da-1-a"));
        }
    }

    @Nested
    class IsolatedRegion {
        @Test
        void shouldServeItsOwnCallers() throws Exception {
            fleet.isolateRegion("Sainshand");
            try {
                HttpResponse<String> response =
                        http.chat(fleet.callerAddress("sa-1-a"), "members", "inspector", "cut off", MAX_TOKENS, true);

                assertThat(response.statusCode()).isEqualTo(200);
            } finally {
                fleet.clearFaults();
            }
        }
    }
}
