package org.ibissaddle.standins;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.ibissaddle.standins.StandinHttpClient.events;
import static org.ibissaddle.standins.StandinHttpClient.joinText;
import static org.ibissaddle.standins.StandinHttpClient.parseJson;
import static org.ibissaddle.standins.StandinHttpClient.waitUntil;

import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.ibissaddle.standins.StandinHttpClient.Event;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class EngineStandinTest {
    private static final String MODEL = "inspect@1";
    private static final String PROMPT = "sleepers of oak, grade two, ".repeat(16);
    private static final String ANSWER = ResponseText.textFor(MODEL, PROMPT, 0);

    private EventLoopGroup loops;
    private EngineStandin engine;
    private StandinHttpClient httpClient;

    @BeforeEach
    void startEngine() throws IOException {
        loops = HttpStandin.newEventLoops(1);
        start(fastEngine("eng-1"));
    }

    @AfterEach
    void closeEngine() {
        engine.close();
        HttpStandin.shutdownEventLoops(loops);
    }

    private static EngineOptions.Builder fastEngine(String name) {
        return EngineOptions.named(name).models(MODEL).stepMicros(200, 10).prefillTokensPerSecond(1e6);
    }

    private void start(EngineOptions.Builder options) throws IOException {
        if (engine != null) {
            engine.close();
        }
        engine = new EngineStandin(options.build(), loops);
        engine.start();
        httpClient = new StandinHttpClient(engine.address());
    }

    private static String body(String prompt, boolean stream, String extra) {
        return "{\"model\":\"%s\",\"prompt\":\"%s\",\"stream\":%s%s}".formatted(MODEL, prompt, stream, extra);
    }

    private HttpResponse<String> complete(String id, String body) throws Exception {
        return httpClient.send("POST", "/v1/completions", body, "X-Request-Id", id, "X-Attempt", "2");
    }

    @Nested
    class Answering {
        @Test
        void shouldStreamWholeAnswerWithIds() throws Exception {
            String stream = complete("r1", body(PROMPT, true, "")).body();
            List<Event> events = events(stream);

            assertThat(joinText(events)).isEqualTo(ANSWER);
            assertThat(events).allMatch(event -> event.requestId().equals("r1") && event.attempt() == 2);
            assertThat(events).allMatch(event -> ANSWER.startsWith(event.text(), event.offset()));
            assertThat(events.getLast().last()).isTrue();
            assertThat(events.getLast().offset()).isEqualTo(ANSWER.length());
            assertThat(stream).endsWith("data: [DONE]\n\n");
        }

        @Test
        void shouldAnswerChatAsJson() throws Exception {
            String body =
                    "{\"model\":\"%s\",\"messages\":[{\"content\":\"one \"},{\"content\":\"two\"}],\"max_tokens\":9}"
                            .formatted(MODEL);
            HttpResponse<String> reply = httpClient.send("POST", "/v1/chat/completions", body, "X-Request-Id", "r1");

            int prompt = parseJson(reply.body()).at("/usage/prompt_tokens").asInt();
            int answer = parseJson(reply.body()).at("/usage/completion_tokens").asInt();
            assertThat(prompt).isPositive();
            assertThat(answer).isPositive();
            assertThat(parseJson(reply.body()).at("/usage/total_tokens").asInt())
                    .isEqualTo(prompt + answer);
            assertThat(parseJson(reply.body()).at("/choices/0/message/content").asText())
                    .isEqualTo(ResponseText.textFor(MODEL, "one two", 9));
            assertThat(reply.headers().firstValue("X-Request-Id")).contains("r1");
            assertThat(reply.headers().firstValue("X-Attempt")).contains("0");
        }

        @Test
        void shouldContinueAfterGivenText() throws Exception {
            String prefix = ANSWER.substring(0, ANSWER.indexOf(' ') + 1);
            String extra = ",\"continue_text\":\"" + prefix + "\"";
            List<Event> events =
                    events(complete("r1", body(PROMPT, true, extra)).body());

            assertThat(events.getFirst().offset()).isEqualTo(prefix.length());
            assertThat(prefix + joinText(events)).isEqualTo(ANSWER);
        }

        @Test
        void shouldRejectContinuationOfAnotherAnswer() throws Exception {
            HttpResponse<String> reply = complete("r1", body(PROMPT, true, ",\"continue_text\":\"no such answer\""));

            assertThat(reply.statusCode()).isEqualTo(400);
            assertThat(reply.body()).contains("continue-text-mismatch");
        }

        @Test
        void shouldRejectUnknownModelAsNotRun() throws Exception {
            HttpResponse<String> reply = complete("r1", body(PROMPT, false, "").replace(MODEL, "poems"));

            assertThat(reply.statusCode()).isEqualTo(404);
            assertThat(reply.headers().firstValue("X-Ran")).contains("not-run");
            assertThat(reply.body()).contains("model \\\"poems\\\" is not resident on server \\\"eng-1\\\"");
            assertThat(engine.stats().requests()).isZero();
        }

        @Test
        void shouldRejectRequestsWhileDraining() throws Exception {
            httpClient.send("POST", "/control", "{\"drain\":true}");
            HttpResponse<String> reply = complete("r1", body(PROMPT, false, ""));

            assertThat(reply.statusCode()).isEqualTo(503);
            assertThat(reply.headers().firstValue("X-Ran")).contains("not-run");
            assertThat(httpClient.json("/load").path("draining").asBoolean()).isTrue();
        }
    }

    @Nested
    class Scheduling {
        @Test
        void shouldRunHigherPriorityFirst() throws Exception {
            start(fastEngine("eng-1").maxBatch(1));
            String longAnswer = ",\"max_tokens\":30000";
            var first = httpClient.sendAsync(
                    "POST", "/v1/completions", body("a", false, longAnswer), "X-Request-Id", "hold");
            waitUntil(() -> httpClient.json("/load").path("running").asInt() == 1);
            var low = httpClient.sendAsync("POST", "/v1/completions", body("b", false, longAnswer), "X-Priority", "1");
            waitUntil(() -> httpClient.json("/load").path("queued").asInt() == 1);
            var high = httpClient.sendAsync("POST", "/v1/completions", body("c", false, ""), "X-Priority", "7");
            waitUntil(() -> httpClient.json("/load").path("queued").asInt() == 2);
            httpClient.send("DELETE", "/v1/streams/hold", "");

            assertThat(high.join().statusCode()).isEqualTo(200);
            assertThat(low).isNotDone();
            assertThat(first.handle((answer, failure) -> true).join()).isTrue();
        }

        @Test
        void shouldDecodeSlowerInLargerBatch() throws Exception {
            start(fastEngine("eng-1").stepMicros(0, 1_000));
            long start = System.nanoTime();
            var others = List.of("a", "b", "c", "d").stream()
                    .map(prompt -> httpClient.sendAsync("POST", "/v1/completions", body(prompt, false, "")))
                    .toList();
            others.forEach(CompletableFuture::join);
            long stepsNanos = ResponseText.DEFAULT_WORDS * 1_000_000L;

            assertThat(System.nanoTime() - start).isGreaterThanOrEqualTo(3 * stepsNanos);
            assertThat(httpClient.json("/load").path("capacity_tokens_per_s").asDouble())
                    .isEqualTo(1_000);
        }

        @Test
        void shouldRejectRequestsWhenQueueIsFull() throws Exception {
            start(fastEngine("eng-1").maxBatch(1).maxQueued(0));

            HttpResponse<String> reply = complete("r1", body(PROMPT, false, ""));

            assertThat(reply.statusCode()).isEqualTo(503);
            assertThat(reply.body()).contains("engine-full");
        }

        @Test
        void shouldReportLoadWithLag() throws Exception {
            start(fastEngine("eng-1").loadLagMs(60_000));
            complete("r1", body(PROMPT, false, ""));

            assertThat(engine.stats().hitTokens() + engine.stats().prefilledTokens())
                    .isPositive();
            assertThat(httpClient.json("/load").path("cached_tokens").asInt()).isZero();
        }
    }

    @Nested
    class Caching {
        @Test
        void shouldSkipPrefillOfCachedPrefix() throws Exception {
            complete("r1", body(PROMPT, false, ""));
            long prefilled = engine.stats().prefilledTokens();
            complete("r2", body(PROMPT + "more", false, ""));

            assertThat(engine.stats().prefilledTokens() - prefilled).isEqualTo(1);
            assertThat(engine.stats().hitTokens()).isEqualTo(PromptBlocks.tokens(PROMPT));
        }

        @Test
        void shouldEvictAndPublishEventsWithGaps() throws Exception {
            start(fastEngine("eng-1").cacheBlocks(3).cacheEvents(0, 4));
            complete("r1", body(PROMPT, false, ""));
            var page = httpClient.json("/cache-events?after=0");

            assertThat(page.path("next").asInt()).isEqualTo(11);
            assertThat(page.path("events")).hasSize(9);
            assertThat(page.path("events").findValuesAsText("seq")).doesNotContain("4", "8");
            assertThat(httpClient.json("/load").path("cached_tokens").asInt()).isEqualTo(3 * PromptBlocks.BLOCK_TOKENS);
        }

        @Test
        void shouldTransferKvBlocksToAnotherEngine() throws Exception {
            complete("r1", body(PROMPT, false, ""));
            String last = PromptBlocks.of(MODEL, PROMPT).getLast();
            byte[] exported =
                    httpClient.bytes("GET", "/kv/" + last, new byte[0]).body();
            start(fastEngine("eng-2"));

            assertThat(httpClient.get("/kv/" + last).statusCode()).isEqualTo(404);
            assertThat(httpClient.bytes("PUT", "/kv/" + last, exported).statusCode())
                    .isEqualTo(204);
            complete("r2", body(PROMPT, false, ""));
            assertThat(engine.stats().prefilledTokens()).isZero();
        }
    }

    @Nested
    class Orders {
        @Test
        void shouldRejectStaleTokenIfChecked() throws Exception {
            String load = "{\"token\":%d,\"kind\":\"load\",\"model\":\"notes\",\"version\":\"2\"}";
            assertThat(httpClient.send("POST", "/orders", load.formatted(7)).body())
                    .isEqualTo("{\"applied\":true}");
            HttpResponse<String> stale = httpClient.send("POST", "/orders", load.formatted(6));

            assertThat(stale.statusCode()).isEqualTo(409);
            assertThat(stale.body()).contains("stale-token");
            assertThat(httpClient.get("/v1/models").body()).contains("notes@2");
            assertThat(engine.stats().orders()).hasSize(1);
        }

        @Test
        void shouldApplyStaleTokenIfNotChecked() throws Exception {
            start(fastEngine("eng-1").orders(false, 1));
            String role = "{\"token\":%d,\"kind\":\"role\",\"role\":\"%s\"}";
            httpClient.send("POST", "/orders", role.formatted(7, "decode"));
            httpClient.send("POST", "/orders", role.formatted(6, "prefill"));

            assertThat(httpClient.json("/load").path("role").asText()).isEqualTo("prefill");
        }
    }

    @Nested
    class Streams {
        @Test
        void shouldResumeCutStream() throws Exception {
            engine.setFaults(EngineFaults.none().withCutAfterEvents(3));
            assertThatThrownBy(() -> complete("r1", body(PROMPT, true, ""))).isInstanceOf(IOException.class);
            int offset = ANSWER.indexOf(' ') + 1;
            List<Event> rest =
                    events(httpClient.get("/v1/streams/r1?offset=" + offset).body());

            assertThat(rest.getFirst().offset()).isEqualTo(offset);
            assertThat(joinText(rest)).isEqualTo(ANSWER.substring(offset));
            assertThat(engine.stats().requests()).isEqualTo(1);
        }

        @Test
        void shouldCancelAfterConnectionIsLost() throws Exception {
            start(fastEngine("eng-1").lostConnectionGraceMs(1));
            engine.setFaults(EngineFaults.none().withCutAfterEvents(1));
            String longAnswer = body(PROMPT, true, ",\"max_tokens\":100000");
            assertThatThrownBy(() -> complete("r1", longAnswer)).isInstanceOf(IOException.class);

            waitUntil(() -> engine.stats().cancels() == 1);
            assertThat(httpClient.json("/load").path("running").asInt()).isZero();
        }

        @Test
        void shouldContinueWhenAnotherConnectionResumesInTime() throws Exception {
            start(fastEngine("eng-1").lostConnectionGraceMs(2_000).stepMicros(2_000, 0));
            engine.setFaults(EngineFaults.none().withCutAfterEvents(1));
            assertThatThrownBy(() -> complete("r1", body(PROMPT, true, ""))).isInstanceOf(IOException.class);
            List<Event> all = events(httpClient.get("/v1/streams/r1?offset=0").body());

            assertThat(joinText(all)).isEqualTo(ANSWER);
            assertThat(engine.stats().cancels()).isZero();
        }

        @Test
        void shouldCancelOnDelete() throws Exception {
            var running = httpClient.sendAsync(
                    "POST", "/v1/completions", body(PROMPT, true, ",\"max_tokens\":100000"), "X-Request-Id", "r1");
            waitUntil(() -> httpClient.send("DELETE", "/v1/streams/r1", "").statusCode() == 204);

            assertThatThrownBy(running::join).hasCauseInstanceOf(IOException.class);
            assertThat(engine.stats().cancels()).isEqualTo(1);
        }

        @Test
        void shouldNotFindUnknownStream() throws Exception {
            assertThat(httpClient.get("/v1/streams/r9?offset=0").statusCode()).isEqualTo(404);
        }
    }

    @Nested
    class Faults {
        @Test
        void shouldCrashOnTextAndRestartWithEmptyCache() throws Exception {
            complete("r1", body(PROMPT, false, ""));
            long incarnation = httpClient.json("/load").path("incarnation").asLong();
            engine.setFaults(EngineFaults.none().withCrashOn("poison"));
            assertThatThrownBy(() -> complete("r2", body("some poison here", false, "")))
                    .isInstanceOf(IOException.class);
            assertThat(engine.hasCrashed()).isTrue();
            assertThatThrownBy(() -> httpClient.get("/load")).isInstanceOf(IOException.class);

            engine.restart();

            assertThat(httpClient.json("/load").path("incarnation").asLong()).isGreaterThan(incarnation);
            assertThat(httpClient.json("/load").path("cached_tokens").asInt()).isZero();
        }

        @Test
        void shouldDuplicateOmitAndMixEvents() throws Exception {
            httpClient.send("POST", "/control", "{\"cross_next\":1,\"duplicate_every\":5,\"gap_every\":7}");
            List<Event> events = events(complete("r1", body(PROMPT, true, "")).body());

            assertThat(events).anyMatch(event -> !event.requestId().equals("r1"));
            List<Event> own = events.stream()
                    .filter(event -> event.requestId().equals("r1"))
                    .toList();
            int words = ResponseText.DEFAULT_WORDS;
            assertThat(own).hasSize(words + words / 5 - words / 7 + 1);
            assertThat(engine.faults().crossNext()).isZero();
        }

        @Test
        void shouldReturnJsonAnswerOfAnotherRequest() throws Exception {
            complete("r1", body("other prompt", false, ""));
            engine.setFaults(EngineFaults.none().withCrossNext(1));
            HttpResponse<String> crossed = complete("r2", body(PROMPT, false, ""));

            assertThat(crossed.headers().firstValue("X-Request-Id")).contains("r1");
            assertThat(parseJson(crossed.body()).at("/choices/0/text").asText())
                    .isEqualTo(ResponseText.textFor(MODEL, "other prompt", 0));
        }

        @Test
        void shouldDelayFirstByte() throws Exception {
            engine.setFaults(EngineFaults.none().withLateMs(150));
            long start = System.nanoTime();
            complete("r1", body(PROMPT, true, ""));

            assertThat(System.nanoTime() - start).isGreaterThanOrEqualTo(140_000_000L);
        }

        @Test
        void shouldRejectUnknownFault() throws Exception {
            assertThat(httpClient.send("POST", "/control", "{\"drian\":true}").statusCode())
                    .isEqualTo(400);
        }
    }
}
