package org.ibissaddle.cli.timeline;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.ibissaddle.fleet.Health;
import org.ibissaddle.id.Incarnation;
import org.ibissaddle.id.InstanceId;
import org.ibissaddle.id.Region;
import org.ibissaddle.id.RequestId;
import org.ibissaddle.id.ServerId;
import org.ibissaddle.id.Zone;
import org.ibissaddle.outcome.ExecutionStatus;
import org.ibissaddle.outcome.RefusalType;
import org.ibissaddle.timeline.Event;
import org.ibissaddle.timeline.EventRingBuffer;
import org.ibissaddle.timeline.EventSource;
import org.ibissaddle.timeline.Gap;
import org.ibissaddle.timeline.HybridTimestamp;
import org.ibissaddle.timeline.Timeline;
import org.ibissaddle.timeline.TimelineEntry;
import org.junit.jupiter.api.Test;

class TimelinePageTest {
    private static final long START_MS = 1_700_000_000_000L;
    private static final ServerId ENGINE = new ServerId("engine-da-1-a");

    private static EventSource origin(String name, String region) {
        return new EventSource(
                new InstanceId(name), new Incarnation(START_MS, 7), new Region(region), new Zone(name.substring(0, 4)));
    }

    private static EventRingBuffer.Snapshot ring(EventSource origin, int firstSeq, Object... atAndEvent) {
        List<TimelineEntry> entries = new ArrayList<>();
        for (int i = 0; i < atAndEvent.length; i += 3) {
            Optional<RequestId> request = Optional.of((String) atAndEvent[i + 1])
                    .filter(name -> !name.isEmpty())
                    .map(RequestId::new);
            HybridTimestamp at = new HybridTimestamp(START_MS + (int) atAndEvent[i], 0);
            entries.add(new TimelineEntry(origin, firstSeq + i / 3, at, request, (Event) atAndEvent[i + 2]));
        }
        return new EventRingBuffer.Snapshot(origin, firstSeq + entries.size(), entries);
    }

    private static Timeline example() {
        EventSource ub1 = origin("ub-1-a", "Ulaanbaatar");
        EventSource ub2 = origin("ub-2-a", "Ulaanbaatar");
        EventSource da = origin("da-1-a", "Darkhan");
        Event admitted = new Event.Admitted(Optional.empty(), false);
        Event refused = new Event.Refused(RefusalType.WRONG_REGION, ExecutionStatus.NOT_RUN);
        return Timeline.merge(
                List.of(
                        ring(
                                ub1,
                                0,
                                0,
                                "",
                                new Event.Started(),
                                40,
                                "",
                                new Event.NoteInForce(1, "d"),
                                300,
                                "r-1",
                                admitted,
                                302,
                                "r-1",
                                new Event.Forwarded(da.instance(), da.region()),
                                520,
                                "r-1",
                                new Event.FirstToken(),
                                1400,
                                "r-1",
                                new Event.Ended(true),
                                900,
                                "",
                                new Event.HealthChanged("sa-1-a", Health.DOWN)),
                        ring(
                                ub2,
                                12,
                                610,
                                "",
                                refused,
                                615,
                                "r-2",
                                admitted,
                                616,
                                "r-2",
                                new Event.Placed(new ServerId("engine-ub-2-a")),
                                617,
                                "r-2",
                                new Event.Dispatched(new ServerId("engine-ub-2-a"), 0),
                                1100,
                                "r-2",
                                new Event.Ended(false),
                                1800,
                                "",
                                new Event.Draining()),
                        ring(
                                da,
                                0,
                                5,
                                "",
                                new Event.Started(),
                                60,
                                "",
                                new Event.NoteInForce(1, "d"),
                                331,
                                "r-1",
                                new Event.Admitted(Optional.empty(), true),
                                332,
                                "r-1",
                                new Event.Placed(ENGINE),
                                333,
                                "r-1",
                                new Event.Dispatched(ENGINE, 0),
                                480,
                                "r-1",
                                new Event.FirstToken(),
                                1370,
                                "r-1",
                                new Event.Ended(true))),
                List.of(new Gap.Unanswered("10.0.3.1:8101", "connection refused <b>")));
    }

    @Test
    void shouldRenderSelfContainedPage() throws IOException {
        String page = TimelinePage.write(example(), Optional.empty());
        Files.writeString(Path.of("target", "timeline-example.html"), page);
        assertThat(page).contains("data-selected=\"r-1\"", "Darkhan", "zone da-1", "3 faults", "&lt;b&gt;");
        assertThat(page).doesNotContain("http://", "https://", "{{", "<b>");
        assertThat(page.split("class='e ", -1)).hasSize(1 + example().entries().size());
    }

    @Test
    void shouldMarkFaultsAndGapsInText() {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        TimelineText.write(example(), new PrintStream(bytes, true, StandardCharsets.UTF_8));
        List<String> lines = bytes.toString(StandardCharsets.UTF_8).lines().toList();
        assertThat(lines).filteredOn(line -> line.startsWith("! ")).hasSize(3);
        assertThat(lines).filteredOn(line -> line.startsWith("? gap: ")).hasSize(2);
    }
}
