package org.ibissaddle.cli.load;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.ibissaddle.cli.call.CallResult;
import org.ibissaddle.cli.status.InstanceStatus;
import org.ibissaddle.id.Address;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class LoadReportTest {
    private static final WorkloadMix MIX = WorkloadMix.byName("cooperative").orElseThrow();

    private static CallResult result(long firstChunkMs, Optional<String> errorType) {
        long at = TimeUnit.MILLISECONDS.toNanos(firstChunkMs);
        return new CallResult(
                200, "", errorType.isEmpty(), errorType, "not-run", Optional.of("a"), Optional.of("s"), at, at);
    }

    @Nested
    class Latencies {
        @Test
        void shouldMeasureFromScheduledStart() {
            LoadStatistics statistics = new LoadStatistics();
            statistics.recordEnded("dossier", "a", result(900, Optional.empty()), TimeUnit.MILLISECONDS.toNanos(100));

            assertThat(statistics.firstChunk().getMaxValue()).isBetween(799_000L, 801_000L);
        }

        @Test
        void shouldMergeHistogramsOfInstances() {
            LoadStatistics statistics = new LoadStatistics();
            for (int i = 0; i < 990; i++) {
                statistics.recordEnded("dossier", "a", result(10, Optional.empty()), 0);
            }
            for (int i = 0; i < 10; i++) {
                statistics.recordEnded("dossier", "b", result(1000, Optional.empty()), 0);
            }
            String text = new LoadReport(new LoadPlan(MIX, List.of(), 1, 1, 1), statistics, new CrossRegionStats(1, 4))
                    .text();

            assertThat(text)
                    .contains("10.0 ms from merged histograms; a mean of 2 percentiles would say 505")
                    .contains("sent to another region: 1 of 4 (25.00 %)");
        }
    }

    @Nested
    class Html {
        @Test
        void shouldRenderSelfContainedPage() {
            LoadStatistics statistics = new LoadStatistics();
            statistics.recordStarted();
            statistics.recordEnded("dossier", "a", result(5, Optional.of("overloaded")), 0);
            statistics.closeInterval();
            String html = new LoadReport(new LoadPlan(MIX, List.of(), 1, 1, 1), statistics, new CrossRegionStats(0, 0))
                    .html();

            assertThat(html).contains("<svg").contains("overloaded (not-run)").doesNotContain("http");
        }
    }

    @Nested
    class Regions {
        @Test
        void shouldCountResponsesFromOtherRegions() throws IOException {
            JsonNode status = new ObjectMapper().readTree("""
                            {"instance":"a","region":"x","servers":[{"name":"s1"}],
                             "peers":[{"name":"b","region":"y"}]}
                            """);
            List<InstanceStatus> fleet =
                    List.of(new InstanceStatus(new Address("127.0.0.1", 1), Optional.of(status), ""));

            CrossRegionStats stats =
                    CrossRegionStats.of(Map.of("a\na\ns1", 6L, "a\nb\n", 2L, "a\nunknown\nunknown", 5L), fleet);

            assertThat(stats).isEqualTo(new CrossRegionStats(2, 8));
        }
    }

    @Nested
    class Mixes {
        @Test
        void shouldBeDeterministicForSeed() {
            SplittableRandom first = new SplittableRandom(4);
            SplittableRandom second = new SplittableRandom(4);
            for (int i = 0; i < 50; i++) {
                assertThat(MIX.sample(first)).isEqualTo(MIX.sample(second));
            }
        }
    }
}
