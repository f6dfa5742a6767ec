package org.ibissaddle.proof.scenario;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.util.Optional;
import org.ibissaddle.proof.harness.TestHttpClient;
import org.ibissaddle.standins.ResponseText;

/**
 * A streamed model call and its response.
 *
 * @param model the requested model
 * @param prompt the prompt
 * @param tokens the requested number of tokens
 * @param response the response, empty if the connection failed
 */
record Call(String model, String prompt, int tokens, Optional<HttpResponse<String>> response) {
    /** Returns whether the response contains the complete answer to this request. */
    boolean isComplete() throws IOException {
        if (response.isEmpty() || response.get().statusCode() != 200) {
            return false;
        }
        String body = response.get().body();
        return body.contains("data: [DONE]")
                && TestHttpClient.streamedText(body).equals(ResponseText.textFor(model, prompt, tokens));
    }

    /** Returns whether the caller can tell from the response that the answer is not complete. */
    boolean failedVisibly() {
        return response.map(answer -> answer.statusCode() >= 400
                        || (answer.body().contains("\"error\"")
                                && !answer.body().contains("data: [DONE]")))
                .orElse(true);
    }

    /** Returns the error type of a refusal; empty if there is none. */
    String refusalType() throws IOException {
        return response.isEmpty()
                ? ""
                : TestHttpClient.parseJson(response.get().body())
                        .at("/error/type")
                        .asText("");
    }

    /** Returns whether the request ran according to the refusal; empty if the response doesn't say so. */
    String ran() throws IOException {
        return response.isEmpty()
                ? ""
                : TestHttpClient.parseJson(response.get().body())
                        .at("/error/ran")
                        .asText("");
    }

    @Override
    public String toString() {
        String outcome = response.map(answer -> answer.statusCode() + " " + answer.body())
                .orElse("connection failed");
        return "call of \"" + prompt + "\": " + outcome;
    }
}
