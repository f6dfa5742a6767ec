package org.ibissaddle.standins;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.ibissaddle.standins.StandinHttpClient.waitUntil;

import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class PlatformStandinTest {
    private EventLoopGroup loops;
    private PlatformStandin platform;
    private StandinHttpClient httpClient;

    @BeforeEach
    void startPlatform() throws IOException {
        loops = HttpStandin.newEventLoops(1);
        start(PlatformOptions.named("platform"));
    }

    @AfterEach
    void closePlatform() {
        platform.close();
        HttpStandin.shutdownEventLoops(loops);
    }

    private void start(PlatformOptions options) throws IOException {
        if (platform != null) {
            platform.close();
        }
        platform = new PlatformStandin(options, loops);
        platform.start();
        httpClient = new StandinHttpClient(platform.address());
    }

    private long put(String name, String value) {
        return platform.putConfig(name, value.getBytes(StandardCharsets.UTF_8));
    }

    private static InstanceEntry entry(String name, String kind) {
        return new InstanceEntry(
                name, kind, Optional.empty(), "kosice", "k1", "127.0.0.1:1", Optional.empty(), InstanceEntry.LIVE);
    }

    @Nested
    class Configuration {
        @Test
        void shouldServeLatestRevision() throws Exception {
            assertThat(httpClient.get("/config/note").statusCode()).isEqualTo(404);
            httpClient.send("PUT", "/config/note", "one");
            httpClient.send("PUT", "/config/other", "x");
            httpClient.send("PUT", "/config/note", "two");
            HttpResponse<String> reply = httpClient.get("/config/note");

            assertThat(reply.body()).isEqualTo("two");
            assertThat(reply.headers().firstValue("X-Revision")).contains("3");
        }

        @Test
        void shouldCompleteWatchOnChange() throws Exception {
            long first = put("note", "one");
            var watch = httpClient.sendAsync("GET", "/config/note?wait_ms=9000&after=" + first, "");
            waitUntil(() -> platform.stats().reads().containsKey("note"));
            assertThat(watch).isNotDone();
            put("note", "two");

            assertThat(watch.join().body()).isEqualTo("two");
            assertThat(platform.stats().reads()).containsEntry("note", 1);
        }

        @Test
        void shouldEndWatchWithoutChange() throws Exception {
            long first = put("note", "one");

            assertThat(httpClient.get("/config/note?wait_ms=10&after=" + first).statusCode())
                    .isEqualTo(304);
        }

        @Test
        void shouldRejectReadsOverBudget() throws Exception {
            put("note", "one");
            platform.setFaults(PlatformFaults.none().withReadsPerSecond(2));
            int refused = 0;
            for (int i = 0; i < 6; i++) {
                refused += httpClient.get("/config/note").statusCode() == 429 ? 1 : 0;
            }

            assertThat(refused).isPositive();
            assertThat(platform.stats().refusedReads()).isEqualTo(refused);
            assertThat(platform.stats().maxReadsPerSecond()).isGreaterThanOrEqualTo(2);
        }

        @Test
        void shouldServeStaleAndPinnedValues() throws Exception {
            long first = put("note", "one");
            put("note", "two");
            platform.setFaults(PlatformFaults.none().withPinnedRevision(first));
            assertThat(httpClient.get("/config/note").body()).isEqualTo("one");
            platform.setFaults(PlatformFaults.none().withStalenessMs(60_000));
            assertThat(httpClient.get("/config/note").statusCode()).isEqualTo(404);
            httpClient.send("POST", "/control", "{\"staleness_ms\":0}");

            assertThat(httpClient.get("/config/note").body()).isEqualTo("two");
        }

        @Test
        void shouldRefuseConnectionsWhileClosedAndKeepValues() throws Exception {
            put("note", "one");
            platform.close();
            assertThatThrownBy(() -> httpClient.get("/config/note")).isInstanceOf(IOException.class);
            platform.start();

            assertThat(httpClient.get("/config/note").body()).isEqualTo("one");
        }

        @Test
        void shouldRejectValueOverLimit() throws Exception {
            byte[] large = new byte[PlatformStandin.MAX_VALUE_BYTES + 1];

            assertThat(httpClient.bytes("PUT", "/config/note", large).statusCode())
                    .isEqualTo(413);
        }

        @Test
        void shouldResetOrRejectDuringOutage() throws Exception {
            put("note", "one");
            httpClient.send("POST", "/control", "{\"outage\":\"reset\"}");
            assertThatThrownBy(() -> httpClient.get("/config/note")).isInstanceOf(IOException.class);
            httpClient.send("POST", "/control", "{\"outage\":\"unavailable\"}");
            assertThat(httpClient.get("/config/note").statusCode()).isEqualTo(503);
            httpClient.send("POST", "/control", "{\"outage\":\"none\"}");

            assertThat(httpClient.get("/config/note").statusCode()).isEqualTo(200);
        }
    }

    @Nested
    class Instances {
        @Test
        void shouldListServersAndDirectory() throws Exception {
            platform.putInstance(entry("gw-1", InstanceEntry.INSTANCE));
            platform.putInstance(entry("eng-1", InstanceEntry.SERVER));
            platform.putInstance(entry("gw-2", InstanceEntry.INSTANCE).withState(InstanceEntry.LEAVING));
            String added = "{\"name\":\"gw-3\",\"kind\":\"instance\",\"region\":\"r\",\"zone\":\"z\","
                    + "\"address\":\"127.0.0.1:2\",\"control\":\"127.0.0.1:3\",\"state\":\"live\"}";
            httpClient.send("PUT", "/instances/gw-3", added);
            httpClient.send("DELETE", "/instances/gw-1", "");

            assertThat(httpClient.json("/instances").path("entries").findValuesAsText("name"))
                    .containsExactly("eng-1", "gw-2", "gw-3");
            assertThat(httpClient.json("/directory").path("entries").findValuesAsText("name"))
                    .containsExactly("gw-3");
        }

        @Test
        void shouldServeInstanceListWithLag() throws Exception {
            start(PlatformOptions.named("platform").withInstanceLagMs(100));
            long putAt = System.nanoTime();
            platform.putInstance(entry("gw-1", InstanceEntry.INSTANCE));
            waitUntil(() -> !httpClient.json("/instances").path("entries").isEmpty());

            assertThat(System.nanoTime() - putAt).isGreaterThanOrEqualTo(99_000_000L);
        }
    }

    @Nested
    class Weights {
        @Test
        void shouldLimitRateOverAllDownloads() throws Exception {
            platform.putWeights("m", "1", 50_000);
            platform.setFaults(PlatformFaults.none().withWeightBytesPerSecond(500_000));
            long start = System.nanoTime();
            var other = httpClient.sendAsync("GET", "/weights/m/1", "");
            assertThat(httpClient.bytes("GET", "/weights/m/1", new byte[0]).body())
                    .hasSize(50_000);
            other.join();

            assertThat(System.nanoTime() - start).isGreaterThanOrEqualTo(195_000_000L);
            assertThat(platform.stats().weightDownloads()).containsEntry("m/1", 2);
            assertThat(httpClient.get("/weights/m/2").statusCode()).isEqualTo(404);
        }
    }
}
