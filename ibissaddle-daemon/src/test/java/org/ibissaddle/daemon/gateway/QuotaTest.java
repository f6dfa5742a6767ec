package org.ibissaddle.daemon.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.ibissaddle.daemon.gateway.GatewayFixture.entry;
import static org.ibissaddle.daemon.gateway.GatewayFixture.freeAddress;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.ibissaddle.id.Address;
import org.ibissaddle.quota.QuotaBounds;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests the quotas of two instances of one region against a fake server. */
@Timeout(20)
class QuotaTest {
    /** Without slack, so that the allowance and the overdraft are less than one request. */
    private static final QuotaBounds BOUNDS = new QuotaBounds(8_000, 0.25, 0);

    private final ByteArrayOutputStream log = new ByteArrayOutputStream();
    private final List<Gateway> gateways = new ArrayList<>();
    private FakePlatformStore platform;
    private FakeBackendServer server;
    private Address first;
    private Address second;
    private Address firstPeer;
    private Address firstDirectory;
    private Address secondDirectory;

    @BeforeEach
    void start() throws IOException {
        platform = new FakePlatformStore();
        server = new FakeBackendServer("s1");
        publish(1, 4, 8);
        platform.put("servers/s1", entry(server.address()));
        first = freeAddress();
        second = freeAddress();
        firstPeer = freeAddress();
        firstDirectory = freeAddress();
        Address secondPeer = freeAddress();
        secondDirectory = freeAddress();
        startInstance("n-1", first, firstDirectory, firstPeer, secondPeer);
        startInstance("n-2", second, secondDirectory, secondPeer, firstPeer);
        GatewayFixture.awaitReadiness(firstDirectory, 200);
        GatewayFixture.awaitReadiness(secondDirectory, 200);
    }

    @AfterEach
    void stop() throws IOException {
        gateways.forEach(Gateway::close);
        platform.close();
        server.close();
    }

    private void startInstance(String name, Address caller, Address directory, Address peer, Address seed)
            throws IOException {
        GatewaySettings.PlatformLimits limits = new GatewaySettings.PlatformLimits(
                0.2, 10_000, 1_000, 4_000, 5, GatewaySettings.Revocation.DEFAULT, BOUNDS);
        GatewaySettings settings = GatewayFixture.settings(
                name, "north", caller, directory, peer, List.of(seed), platform.address(), limits);
        gateways.add(Gateway.start(settings, () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime()), log));
    }

    private void publish(int version, int perSecond, int burst) {
        platform.put("op/config", """
                {"version":%d,"routes":[
                 {"name":"any","host":"h.example","pathPrefix":"/any/","kind":"idempotent","timeoutMs":3000,
                  "targetLatencyMs":500,"priority":3,"service":"ledger","maxAttempts":2}],
                 "services":[{"name":"ledger","healthPath":"/healthz"}],"limits":{},
                 "tenants":[{"name":"yards","apiKeys":["key-yards"],"ratePerS":%d,"burst":%d},
                            {"name":"docks","apiKeys":["key-docks"]}]}""".formatted(version, perSecond, burst));
    }

    private static String get(Address caller, String key) throws IOException {
        return GatewayFixture.call(caller, "GET", "/any/1", "Authorization: Token " + key + "\r\n", "");
    }

    /** Waits until the issuer's hold-down is over: one of the instances has issued tokens. */
    private void awaitIssuer() throws IOException {
        while (!(metrics(firstDirectory) + metrics(secondDirectory)).contains("quota_issued_total")) {
            get(first, "key-yards");
        }
    }

    private int served(Address caller, int requests) throws IOException {
        int served = 0;
        for (int i = 0; i < requests; i++) {
            served += get(caller, "key-yards").startsWith("HTTP/1.1 200") ? 1 : 0;
        }
        return served;
    }

    private static String metrics(Address directory) throws IOException {
        return GatewayFixture.exchange(directory, "GET /metrics HTTP/1.1\r\nConnection: close\r\n\r\n");
    }

    /** Guards against a limit for each instance: both together must stay within one. */
    @Test
    void shouldLimitBothInstancesTogether() throws IOException {
        awaitIssuer();
        long startNs = System.nanoTime();
        int served = 0;
        int total = 0;
        while (System.nanoTime() - startNs < TimeUnit.SECONDS.toNanos(4)) {
            served += served(first, 2) + served(second, 2);
            total += 4;
        }
        double seconds = (System.nanoTime() - startNs) / 1e9;

        assertThat((double) served)
                .as("of %d requests in %s s", total, seconds)
                .isBetween(2 * seconds, 4 * seconds + 10);
        assertThat(served).isLessThan(total / 2);
    }

    @Test
    void shouldExplainARejection() throws IOException {
        awaitIssuer();
        String answer = get(second, "key-yards");
        while (answer.startsWith("HTTP/1.1 200")) {
            answer = get(second, "key-yards");
        }

        assertThat(answer).startsWith("HTTP/1.1 429").contains("the quota of workspace yards is used up");
        Matcher retry = Pattern.compile("Retry-After: ([0-9.]+)").matcher(answer);
        assertThat(retry.find()).isTrue();
        assertThat(Double.parseDouble(retry.group(1))).isBetween(0.0, 10.0);
        String line = awaitLine("event=over-quota");
        assertThat(line)
                .contains("request=7", "workspace=yards", "perSecond=4", "burst=8", "configuration=1", "held=")
                .contains("answeredBy=n-", "answerAgeMs=", "cost=1", "retryInMs=");
        assertThat(metrics(secondDirectory)).contains("ibissaddle_quota_rejected_total{workspace=\"yards\"}");
    }

    private String awaitLine(String event) {
        while (true) {
            for (String line : log.toString(StandardCharsets.UTF_8).split("\n", -1)) {
                if (line.contains(event)) {
                    return line;
                }
            }
            Thread.onSpinWait();
        }
    }

    /** Guards against messages and limits for workspaces without a quota. */
    @Test
    void shouldNotLimitAWorkspaceWithoutAQuota() throws IOException {
        for (int i = 0; i < 50; i++) {
            assertThat(get(first, "key-docks")).startsWith("HTTP/1.1 200");
        }

        assertThat(metrics(firstDirectory)).doesNotContain("quota");
    }

    /** Guards against a request that is parked for good, or charged and sent after its caller has left. */
    @Test
    void shouldDropAWaitingRequestWhoseCallerLeaves() throws IOException {
        publish(2, 1, 1);
        while (!get(first, "key-yards").startsWith("HTTP/1.1 429")) {
            Thread.onSpinWait();
        }
        server.arrivals().clear();
        for (int i = 0; i < 20; i++) {
            try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), first.port())) {
                String request = String.join(
                        "\r\n",
                        "GET /any/left HTTP/1.1",
                        "Host: h.example",
                        "X-Attempt-Id: 8",
                        "Authorization: Token key-yards",
                        "",
                        "");
                socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
            }
        }
        while (!get(first, "key-yards").startsWith("HTTP/1.1 200")) {
            Thread.onSpinWait();
        }

        assertThat(server.arrivals().stream()
                        .filter(arrival -> arrival.get("path").equals("/any/left")))
                .hasSizeLessThan(5);
    }

    /** Guards against a lease message that is accepted from callers, or that a malformed one breaks. */
    @Test
    void shouldAnswerLeaseRequestsOnThePeerPortOnly() throws IOException {
        String message = "{\"sender\":\"n-9\",\"requests\":[{\"workspace\":\"yards\",\"waiting\":[1]},"
                + "{\"workspace\":\"docks\",\"waiting\":[1]}]}";

        assertThat(post(firstPeer, message)).startsWith("HTTP/1.1 200").contains("\"refused\":\"UNKNOWN_WORKSPACE\"");
        assertThat(post(firstPeer, "{\"sender\":")).startsWith("HTTP/1.1 400");
        assertThat(post(first, message)).startsWith("HTTP/1.1 4");
    }

    private static String post(Address to, String body) throws IOException {
        return GatewayFixture.exchange(
                to,
                "POST /ibissaddle/quota HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\nContent-Length: "
                        + body.length() + "\r\n\r\n" + body);
    }
}
