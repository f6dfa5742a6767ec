package org.ibissaddle.proof;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.http.HttpResponse;
import org.ibissaddle.cli.deployment.DeploymentSpec;
import org.ibissaddle.proof.harness.TestFleet;
import org.ibissaddle.proof.harness.TestHttpClient;
import org.ibissaddle.standins.AnswerText;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class WholePathTest {
    private static final int TOKENS = 30;

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
        void shouldStreamTheWholeAnswer() throws Exception {
            HttpResponse<String> answer =
                    http.chat(fleet.callerAddress("da-1-a"), "members", "inspector", "a dossier", TOKENS, true);

            assertThat(answer.statusCode()).isEqualTo(200);
            assertThat(answer.body()).contains("data: [DONE]");
            assertThat(TestHttpClient.streamedText(answer.body()))
                    .isEqualTo(AnswerText.answerFor("inspector", "a dossier", TOKENS));
        }

        @Test
        void shouldRefuseBoundWorkInAnotherRegion() throws Exception {
            HttpResponse<String> answer =
                    http.chat(fleet.callerAddress("ub-1-a"), "darkhan-yard", "inspector", "a dossier", TOKENS, true);

            assertThat(answer.statusCode()).isEqualTo(421);
            assertThat(TestHttpClient.parseJson(answer.body()).at("/error/ran").asText())
                    .isEqualTo("not-run");
            assertThat(TestHttpClient.parseJson(answer.body())
                            .at("/error/instances/0")
                            .asText())
                    .isEqualTo(fleet.callerAddress("da-1-a"));
        }
    }

    @Nested
    class CutOffRegion {
        @Test
        void shouldServeItsOwnCallers() throws Exception {
            fleet.isolateRegion("Sainshand");
            try {
                HttpResponse<String> answer =
                        http.chat(fleet.callerAddress("sa-1-a"), "members", "inspector", "cut off", TOKENS, true);

                assertThat(answer.statusCode()).isEqualTo(200);
            } finally {
                fleet.clearFaults();
            }
        }
    }
}
