package org.ibissaddle.proof.scenario;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.util.Optional;
import org.ibissaddle.proof.harness.TestHttpClient;
import org.ibissaddle.standins.AnswerText;

/**
 * A model call of a caller and what came back.
 *
 * @param model the model asked for
 * @param prompt the dossier
 * @param tokens how many tokens were asked for
 * @param response what came back, empty when the connection broke
 */
record Call(String model, String prompt, int tokens, Optional<HttpResponse<String>> response) {
    /** Whether the caller has the whole answer to its own request. */
    boolean whole() throws IOException {
        if (response.isEmpty() || response.get().statusCode() != 200) {
            return false;
        }
        String body = response.get().body();
        return body.contains("data: [DONE]")
                && TestHttpClient.streamedText(body).equals(AnswerText.answerFor(model, prompt, tokens));
    }

    /** Whether the caller can see that it has no whole answer. */
    boolean visiblyFailed() {
        return response.map(answer -> answer.statusCode() >= 400
                        || (answer.body().contains("\"error\"")
                                && !answer.body().contains("data: [DONE]")))
                .orElse(true);
    }

    /** The type of the refusal, empty when it was not refused. */
    String refusalType() throws IOException {
        return response.isEmpty()
                ? ""
                : TestHttpClient.parseJson(response.get().body())
                        .at("/error/type")
                        .asText("");
    }

    /** Whether the request ran, by the refusal's word. */
    String ran() throws IOException {
        return response.isEmpty()
                ? ""
                : TestHttpClient.parseJson(response.get().body())
                        .at("/error/ran")
                        .asText("");
    }

    @Override
    public String toString() {
        String what = response.map(answer -> answer.statusCode() + " " + answer.body())
                .orElse("connection broken");
        return "call of \"" + prompt + "\": " + what;
    }
}
