package org.ibissaddle.daemon.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.ibissaddle.daemon.gateway.FakeBackendServer.CLOSE;
import static org.ibissaddle.daemon.gateway.FakeBackendServer.CONNECTION;
import static org.ibissaddle.daemon.gateway.FakeBackendServer.PAUSE;
import static org.ibissaddle.daemon.gateway.FakeBackendServer.RESET;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.Callable;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.locks.LockSupport;
import java.util.regex.Pattern;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import org.ibissaddle.daemon.gateway.SecondAnswerTest.Framing;
import org.ibissaddle.daemon.gateway.SecondAnswerTest.Timing;
import org.ibissaddle.id.Address;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Mixes second answers, broken answers and restarts of an instance, over one instance and two. */
class SecondAnswerSoakTest {
    private static final String ROUTE = """
            {"name":"%1$s-%2$s","host":"h.example","pathPrefix":"/%1$s/%2$s/","kind":"%3$s","timeoutMs":1500,
             "targetLatencyMs":900,"priority":2,"service":"%1$s","maxAttempts":2%4$s}""";
    private static final List<String> SERVICES = List.of("near", "far");
    private static final List<String> KINDS = List.of("once", "any", "stream", "resumed");
    private static final List<Framing> FRAMINGS = List.of(Framing.values());
    private static final List<Timing> TIMINGS = List.of(Timing.values());
    private static final Pattern OTHER_EVENT = Pattern.compile("data: (\\d+)-");
    private static final int CALLERS = 4;
    private static final int CALLS = 30;
    /** Fewer would mean that most calls were refused, so that little was tested. */
    private static final int MIN_WHOLE_ANSWERS = 20;

    private static final int MAX_CALLS_OF_ONE_ID = 10;
    private static final long RETRY_DELAY_NS = 25_000_000;

    private final FakePlatformStore platform = new FakePlatformStore();
    private final List<FakeBackendServer> servers = List.of(
            new FakeBackendServer("s0"),
            new FakeBackendServer("s1"),
            new FakeBackendServer("s2"),
            new FakeBackendServer("s3"));
    private final Address caller = GatewayFixture.freeAddress();
    private final Address northPeer = GatewayFixture.freeAddress();
    private final Address southPeer = GatewayFixture.freeAddress();
    private final Map<String, String> lastFramedIds = new ConcurrentHashMap<>();
    private final Queue<String> possibleRuns = new ConcurrentLinkedQueue<>();
    private Gateway north;
    private Gateway south;

    SecondAnswerSoakTest() throws IOException {}

    static LongStream seeds() {
        return LongStream.rangeClosed(1, Integer.getInteger("secondAnswers.seeds", 2));
    }

    @BeforeEach
    void start() throws IOException {
        String routes = String.join(
                ",",
                SERVICES.stream()
                        .flatMap(service -> KINDS.stream().map(kind -> route(service, kind)))
                        .toList());
        platform.put(
                "op/config",
                "{\"version\":1,\"routes\":[" + routes
                        + "],\"services\":[{\"name\":\"near\",\"healthPath\":\"/healthz\"},"
                        + "{\"name\":\"far\",\"healthPath\":\"/healthz\"}],\"limits\":{}}");
        for (int i = 0; i < servers.size(); i++) {
            boolean near = i % 2 == 0;
            platform.put("servers/s" + i, """
                            {"service":"%s","address":"%s","zone":"%s-a","slots":6,"state":"ready","coldLeftMs":0,
                             "seq":1}""".formatted(
                            near ? "near" : "far", servers.get(i).address(), near ? "north" : "south"));
        }
        north = GatewayFixture.start(
                "north", caller, GatewayFixture.freeAddress(), northPeer, List.of(southPeer), platform.address());
        startSouth(southPeer);
        for (String service : SERVICES) {
            while (!call("/" + service + "/any/", "1").startsWith("HTTP/1.1 200")) {
                Thread.onSpinWait();
            }
        }
        servers.forEach(server -> server.arrivals().clear());
    }

    @AfterEach
    void stop() throws IOException {
        north.close();
        south.close();
        platform.close();
        for (FakeBackendServer server : servers) {
            server.close();
        }
    }

    private void startSouth(Address peer) throws IOException {
        south = GatewayFixture.start(
                "south",
                GatewayFixture.freeAddress(),
                GatewayFixture.freeAddress(),
                peer,
                List.of(northPeer),
                platform.address());
    }

    private static String route(String service, String kind) {
        return switch (kind) {
            case "once" -> ROUTE.formatted(service, kind, "non_idempotent", "");
            case "any" -> ROUTE.formatted(service, kind, "idempotent", "");
            case "stream" -> ROUTE.formatted(service, kind, "streaming", "");
            default -> ROUTE.formatted(service, kind, "streaming", ",\"resumable\":true");
        };
    }

    private String call(String path, String id) throws IOException {
        return GatewayFixture.exchange(
                caller,
                "GET " + path + id + " HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\nX-Attempt-Id: " + id
                        + "\r\n\r\n");
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void shouldRelayOnlyWholeAnswersOfTheRequest(long seed) throws Exception {
        Random random = new Random(seed);
        servers.forEach(server -> {
            long serverSeed = random.nextLong();
            server.respondWith(request -> answer(
                    new Random(serverSeed ^ Long.parseLong(request.get("x-attempt-id")) * 0x9E3779B97F4A7C15L),
                    request));
        });
        try (ExecutorService callers = Executors.newFixedThreadPool(CALLERS + 1)) {
            List<Callable<String>> calls = IntStream.range(0, CALLERS * CALLS)
                    .<Callable<String>>mapToObj(i -> () -> callRandomly(new Random(seed * 1_000_003 + i), 100 + i))
                    .toList();
            Future<?> restart = callers.submit(() -> {
                south.close();
                startSouth(GatewayFixture.freeAddress());
                return null;
            });
            List<Future<String>> answers = callers.invokeAll(calls);
            restart.get();
            int whole = 0;
            for (int i = 0; i < answers.size(); i++) {
                String id = String.valueOf(100 + i);
                String answer = answers.get(i).get();
                assertOwnOrFailed(answer, id);
                whole += SecondAnswerTest.wholeBody(answer).equals(SecondAnswerTest.events(id)) ? 1 : 0;
            }
            assertThat(whole).isGreaterThan(MIN_WHOLE_ANSWERS);
        }
        assertThat(possibleRuns).doesNotHaveDuplicates();
    }

    /** Repeats a call that is refused, which means that it has not run. */
    private String callRandomly(Random random, int id) throws IOException {
        String service = SERVICES.get(random.nextInt(SERVICES.size()));
        String path = "/" + service + "/" + KINDS.get(random.nextInt(KINDS.size())) + "/";
        String answer = call(path, String.valueOf(id));
        for (int calls = 1; calls < MAX_CALLS_OF_ONE_ID && answer.startsWith("HTTP/1.1 503"); calls++) {
            LockSupport.parkNanos(RETRY_DELAY_NS);
            answer = call(path, String.valueOf(id));
        }
        return answer;
    }

    private static void assertOwnOrFailed(String answer, String id) {
        String whole = SecondAnswerTest.wholeBody(answer);
        assertThat(whole)
                .satisfiesAnyOf(
                        body -> assertThat(body).isIn("", "incomplete", SecondAnswerTest.events(id)),
                        status -> assertThat(status).matches("HTTP/1.1 (404|50[0234]) .*"));
        assertThat(answer.split("HTTP/1\\.1", -1)).hasSizeLessThanOrEqualTo(2);
        assertThat(OTHER_EVENT.matcher(answer).results().map(event -> event.group(1)))
                .allMatch(id::equals);
    }

    /** Returns a random answer of a faulty server. */
    private String answer(Random random, Map<String, String> request) {
        String id = request.get("x-attempt-id");
        String earlierId = lastFramedIds.getOrDefault(request.get(CONNECTION), "");
        String interim = random.nextInt(4) == 0 ? "HTTP/1.1 103 Early Hints\r\n\r\n" : "";
        if (random.nextInt(10) == 0) {
            return interim + refusal(id) + (random.nextBoolean() ? refusal(id) : "");
        }
        if (request.get("path").contains("/once/")) {
            possibleRuns.add(id);
        }
        String events = SecondAnswerTest.events(id);
        String body = "1".equals(request.get("last-event-id")) ? events.substring(events.indexOf("id: 2")) : events;
        Framing framing = FRAMINGS.get(random.nextInt(FRAMINGS.size()));
        Timing timing = TIMINGS.get(random.nextInt(TIMINGS.size()));
        String end = framing == Framing.CLOSE ? CLOSE : "";
        String response = framing.response(id, body);
        Framing otherFraming = random.nextBoolean() ? Framing.LENGTH : Framing.CHUNKED;
        String earlier =
                earlierId.isEmpty() ? "" : otherFraming.response(earlierId, SecondAnswerTest.events(earlierId));
        if (framing == Framing.CLOSE) {
            lastFramedIds.remove(request.get(CONNECTION));
        } else {
            lastFramedIds.put(request.get(CONNECTION), id);
        }
        return switch (random.nextInt(20)) {
            case 0 -> RESET;
            case 1 -> interim + Framing.LENGTH.response(id, body).replaceFirst("(?s)id: 2.*", CLOSE);
            case 2, 3 -> interim + response + end;
            case 4 -> interim + earlier + PAUSE + response + end;
            case 5, 6 ->
                interim + response.replace("id: 2", PAUSE + (framing == Framing.CLOSE ? earlier : "") + "id: 2") + end;
            case 7 -> interim + notFound(id, framing) + PAUSE + notFound(id, framing) + end;
            default -> interim + timing.join(response, otherFraming.response(id, body)) + end;
        };
    }

    private static String refusal(String id) {
        return "HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: " + id
                + "\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
    }

    private static String notFound(String id, Framing framing) {
        return framing.response(id, "missing").replace("200 OK", "404 Not Found");
    }
}
