package org.ibissaddle.timeline;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.ibissaddle.fleet.Health;
import org.ibissaddle.id.Incarnation;
import org.ibissaddle.id.InstanceId;
import org.ibissaddle.id.Region;
import org.ibissaddle.id.RequestId;
import org.ibissaddle.id.Zone;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class TimelineTest {
    private static final RequestId REQUEST = new RequestId("r-1");

    private static EventSource origin(String name) {
        return new EventSource(new InstanceId(name), new Incarnation(1, 2), new Region("north"), new Zone("n-1"));
    }

    private static TimelineEntry entry(String instance, long seq, long ms, Event event) {
        return new TimelineEntry(origin(instance), seq, new HybridTimestamp(ms, 0), Optional.of(REQUEST), event);
    }

    private static EventRingBuffer.Snapshot ring(String instance, TimelineEntry... entries) {
        long next = entries.length == 0 ? 0 : entries[entries.length - 1].seq() + 1;
        return new EventRingBuffer.Snapshot(origin(instance), next, List.of(entries));
    }

    @Nested
    class Stamps {
        @Test
        void shouldIgnoreRemoteTimestampFarAhead() {
            HybridTimestamp received =
                    new HybridTimestamp(1000, 0).receive(new HybridTimestamp(Long.MAX_VALUE, 0), 1001);
            assertThat(received.physicalMs()).isEqualTo(1001);
        }
    }

    @Nested
    class Ring {
        @Test
        void shouldKeepTheLatestEvents() {
            EventRingBuffer ring = new EventRingBuffer(3);
            for (int i = 0; i < 5; i++) {
                ring.append(seq -> entry("a", seq, seq, new Event.FirstToken()));
            }
            EventRingBuffer.Snapshot snapshot = ring.snapshot(origin("a"));
            assertThat(snapshot.entries()).extracting(TimelineEntry::seq).containsExactly(2L, 3L, 4L);
            assertThat(Timeline.merge(List.of(snapshot), List.of()).gaps())
                    .containsExactly(new Gap.Overwritten(origin("a"), 2, new HybridTimestamp(2, 0)));
        }

        @Test
        void shouldRetainAllEventsOfConcurrentWriters() throws InterruptedException {
            EventRingBuffer ring = new EventRingBuffer(4_000);
            List<Thread> writers = new ArrayList<>();
            for (int i = 0; i < 4; i++) {
                writers.add(Thread.ofPlatform().start(() -> {
                    for (int j = 0; j < 1_000; j++) {
                        ring.append(seq -> entry("a", seq, seq, new Event.FirstToken()));
                    }
                }));
            }
            for (Thread writer : writers) {
                writer.join();
            }
            assertThat(ring.snapshot(origin("a")).entries()).hasSize(4_000);
        }
    }

    @Nested
    class Merging {
        @Test
        void shouldOrderCausesBeforeEffects() {
            Event sent = new Event.Forwarded(new InstanceId("b"), new Region("north"));
            Event admitted = new Event.Admitted(Optional.empty(), true);
            Timeline line = Timeline.merge(
                    List.of(ring("b", entry("b", 0, 21, admitted)), ring("a", entry("a", 0, 20, sent))), List.of());
            assertThat(line.eventsOf(REQUEST)).extracting(TimelineEntry::event).containsExactly(sent, admitted);
            assertThat(line.gaps()).isEmpty();
        }

        @Test
        void shouldReportGapForUnreachableInstance() {
            Event sent = new Event.Forwarded(new InstanceId("b"), new Region("north"));
            Gap.Unanswered gap = new Gap.Unanswered("10.0.0.1:1", "connection refused");
            Timeline line = Timeline.merge(List.of(ring("a", entry("a", 0, 20, sent))), List.of(gap));
            assertThat(line.gaps()).containsExactly(gap, new Gap.Unheard(new InstanceId("b")));
        }

        @Test
        void shouldReportGapForEarlierIncarnation() {
            Event seen = new Event.HealthChanged("b", Health.DOWN);
            Timeline line = Timeline.merge(
                    List.of(ring("a", entry("a", 0, 20, seen)), ring("b", entry("b", 0, 30, new Event.Started()))),
                    List.of());
            assertThat(line.gaps()).containsExactly(new Gap.EarlierLife(origin("b"), new HybridTimestamp(30, 0)));
        }
    }

    @Nested
    class Json {
        @Test
        void shouldParseItsOwnOutput() throws TimelineFormatException {
            EventRingBuffer.Snapshot ring = ring(
                    "a",
                    entry("a", 0, 1, new Event.Admitted(Optional.empty(), false)),
                    entry("a", 1, 2, new Event.HealthChanged("b", Health.SUSPECT)),
                    entry("a", 2, 3, new Event.Ended(false)));
            assertThat(TimelineJson.read(TimelineJson.write(ring))).isEqualTo(ring);
        }

        @Test
        void shouldRejectInvalidJson() {
            for (String text : List.of("", "null", "[]", "{}", "{\"origin\":{},\"entries\":[{}]}")) {
                assertThatThrownBy(() -> TimelineJson.read(text)).isInstanceOf(TimelineFormatException.class);
            }
        }
    }
}
