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
import org.ibissaddle.cli.call.Answer;
import org.ibissaddle.cli.status.InstanceStatus;
import org.ibissaddle.id.Address;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class LoadReportTest {
    private static final Mix MIX = Mix.named("cooperative").orElseThrow();

    private static Answer answer(long firstMs, Optional<String> refusal) {
        long at = TimeUnit.MILLISECONDS.toNanos(firstMs);
        return new Answer(200, "", refusal.isEmpty(), refusal, "not-run", Optional.of("a"), Optional.of("s"), at, at);
    }

    @Nested
    class Times {
        @Test
        void shouldCountFromIntendedStart() {
            Tally tally = new Tally();
            tally.ended("dossier", "a", answer(900, Optional.empty()), TimeUnit.MILLISECONDS.toNanos(100));

            assertThat(tally.first().getMaxValue()).isBetween(799_000L, 801_000L);
        }

        @Test
        void shouldMergeHistogramsOfInstances() {
            Tally tally = new Tally();
            for (int i = 0; i < 990; i++) {
                tally.ended("dossier", "a", answer(10, Optional.empty()), 0);
            }
            for (int i = 0; i < 10; i++) {
                tally.ended("dossier", "b", answer(1000, Optional.empty()), 0);
            }
            String text = new LoadReport(new LoadPlan(MIX, List.of(), 1, 1, 1), tally, new SentAway(1, 4)).text();

            assertThat(text)
                    .contains("10.0 ms from merged histograms; a mean of 2 percentiles would say 505")
                    .contains("sent to another region: 1 of 4 (25.00 %)");
        }
    }

    @Nested
    class Pages {
        @Test
        void shouldNeedNothingElse() {
            Tally tally = new Tally();
            tally.started();
            tally.ended("dossier", "a", answer(5, Optional.of("overloaded")), 0);
            tally.tick();
            String html = new LoadReport(new LoadPlan(MIX, List.of(), 1, 1, 1), tally, new SentAway(0, 0)).html();

            assertThat(html).contains("<svg").contains("overloaded (not-run)").doesNotContain("http");
        }
    }

    @Nested
    class Regions {
        @Test
        void shouldCountAnswersOfOtherRegions() throws IOException {
            JsonNode status = new ObjectMapper().readTree("""
                            {"instance":"a","region":"x","servers":[{"name":"s1"}],
                             "peers":[{"name":"b","region":"y"}]}
                            """);
            List<InstanceStatus> fleet =
                    List.of(new InstanceStatus(new Address("127.0.0.1", 1), Optional.of(status), ""));

            SentAway sent = SentAway.of(Map.of("a\na\ns1", 6L, "a\nb\n", 2L, "a\nunknown\nunknown", 5L), fleet);

            assertThat(sent).isEqualTo(new SentAway(2, 8));
        }
    }

    @Nested
    class Mixes {
        @Test
        void shouldDrawTheSameFromTheSameSeed() {
            SplittableRandom first = new SplittableRandom(4);
            SplittableRandom second = new SplittableRandom(4);
            for (int i = 0; i < 50; i++) {
                assertThat(MIX.draw(first)).isEqualTo(MIX.draw(second));
            }
        }
    }
}
