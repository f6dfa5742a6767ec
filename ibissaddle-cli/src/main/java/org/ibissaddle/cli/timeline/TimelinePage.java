package org.ibissaddle.cli.timeline;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import org.ibissaddle.id.RequestId;
import org.ibissaddle.timeline.Event;
import org.ibissaddle.timeline.EventSource;
import org.ibissaddle.timeline.Gap;
import org.ibissaddle.timeline.Timeline;
import org.ibissaddle.timeline.TimelineEntry;

/** Renders a timeline as a self-contained HTML page with one lane per process, grouped by region and zone. */
public final class TimelinePage {
    private static final int LEFT = 250;
    private static final int WIDTH = 1150;
    private static final int TOP = 34;
    private static final int LANE_HEIGHT = 46;
    private static final int TICKS = 8;
    private static final int MIN_EVENT_DISTANCE = 11;
    private static final Comparator<EventSource> LANE_ORDER = Comparator.comparing(EventSource::region)
            .thenComparing(EventSource::zone)
            .thenComparing(EventSource::instance)
            .thenComparing(EventSource::incarnation);

    private final Timeline timeline;
    private final Optional<RequestId> highlighted;
    private final List<EventSource> lanes;
    private final Map<TimelineEntry, Integer> xPositions = new HashMap<>();
    private final StringBuilder svg = new StringBuilder();

    private TimelinePage(Timeline timeline, Optional<RequestId> highlighted) {
        this.timeline = timeline;
        this.highlighted = highlighted.or(() -> firstForwarded(timeline)).or(() -> firstRequest(timeline));
        TreeSet<EventSource> origins = new TreeSet<>(LANE_ORDER);
        timeline.entries().forEach(entry -> origins.add(entry.origin()));
        this.lanes = List.copyOf(origins);
    }

    /**
     * Renders a timeline.
     *
     * @param timeline timeline to render
     * @param highlighted request that is highlighted initially, empty for the first one that was forwarded
     * @return HTML
     */
    public static String write(Timeline timeline, Optional<RequestId> highlighted) {
        return new TimelinePage(timeline, highlighted).html();
    }

    private static Optional<RequestId> firstForwarded(Timeline timeline) {
        return timeline.entries().stream()
                .filter(entry -> entry.event() instanceof Event.Forwarded)
                .findFirst()
                .flatMap(TimelineEntry::request);
    }

    private static Optional<RequestId> firstRequest(Timeline timeline) {
        return timeline.entries().stream()
                .flatMap(entry -> entry.request().stream())
                .findFirst();
    }

    private String html() {
        assignPositions();
        drawLanes();
        drawTicks();
        drawGaps();
        String background = svg.toString();
        svg.setLength(0);
        timeline.entries().forEach(this::drawEvent);
        int height = TOP + LANE_HEIGHT * Math.max(1, lanes.size()) + 10;
        return template()
                .replace("{{width}}", Integer.toString(LEFT + WIDTH + 30))
                .replace("{{height}}", Integer.toString(height))
                .replace("{{summary}}", summary())
                .replace("{{selected}}", escape(highlighted.map(RequestId::name).orElse("")))
                .replace("{{lanes}}", background)
                .replace("{{svg}}", svg)
                .replace("{{gaps}}", gaps())
                .replace("{{rows}}", rows());
    }

    /** Assigns the x position of each event by its time, shifted to the right where events of a lane would overlap. */
    private void assignPositions() {
        Map<EventSource, Integer> lastPositions = new HashMap<>();
        for (TimelineEntry entry : timeline.entries()) {
            int x = x(entry.at().physicalMs());
            int minX = lastPositions.getOrDefault(entry.origin(), Integer.MIN_VALUE / 2) + MIN_EVENT_DISTANCE;
            int position = Math.max(x, minX);
            lastPositions.put(entry.origin(), position);
            xPositions.put(entry, position);
        }
        int end = xPositions.values().stream().mapToInt(Integer::intValue).max().orElse(0);
        if (end > LEFT + WIDTH) {
            double scale = (double) WIDTH / (end - LEFT);
            xPositions.replaceAll((entry, x) -> LEFT + (int) ((x - LEFT) * scale));
        }
    }

    private int x(long atMs) {
        long first = firstMs();
        long span = Math.max(1, lastMs() - first);
        return LEFT + (int) ((atMs - first) * WIDTH / span);
    }

    private long firstMs() {
        return timeline.entries().isEmpty() ? 0 : timeline.entries().get(0).at().physicalMs();
    }

    private long lastMs() {
        return timeline.entries().isEmpty()
                ? 1
                : timeline.entries().get(timeline.entries().size() - 1).at().physicalMs();
    }

    private int y(EventSource origin) {
        return TOP + lanes.indexOf(origin) * LANE_HEIGHT + LANE_HEIGHT / 2;
    }

    private void drawLanes() {
        for (EventSource origin : lanes) {
            int y = y(origin);
            svg.append("<line class=lane x1=%d y1=%d x2=%d y2=%d />".formatted(LEFT, y, LEFT + WIDTH, y));
            svg.append("<text x=8 y=%d class=region>%s <tspan class=zone>zone %s</tspan></text>"
                    .formatted(
                            y - 4,
                            escape(origin.region().name()),
                            escape(origin.zone().name())));
            svg.append("<text x=8 y=%d>%s</text>"
                    .formatted(y + 13, escape(origin.instance().name())));
        }
    }

    private void drawTicks() {
        long span = lastMs() - firstMs();
        for (int i = 0; i <= TICKS; i++) {
            int x = LEFT + WIDTH * i / TICKS;
            int bottom = TOP + lanes.size() * LANE_HEIGHT;
            svg.append("<line class=tick x1=%d y1=%d x2=%d y2=%d />".formatted(x, TOP - 8, x, bottom));
            svg.append("<text class=tick x=%d y=16>+%s s</text>"
                    .formatted(x, String.format("%.2f", span * i / (double) TICKS / 1000)));
        }
    }

    private void drawGaps() {
        for (Gap gap : timeline.gaps()) {
            switch (gap) {
                case Gap.Overwritten lost ->
                    drawGap(lost.origin(), lost.before().physicalMs(), gap.description());
                case Gap.EarlierLife lost -> drawGap(lost.origin(), lost.since().physicalMs(), gap.description());
                case Gap.Unanswered lost -> {}
                case Gap.Unheard lost -> {}
            }
        }
    }

    private void drawGap(EventSource origin, long untilMs, String text) {
        int width = Math.max(12, x(untilMs) - LEFT - 6);
        svg.append("<rect class=gap x=%d y=%d width=%d height=16><title>%s</title></rect>"
                .formatted(LEFT, y(origin) - 8, width, escape(text)));
    }

    private void drawEvent(TimelineEntry entry) {
        int x = xPositions.get(entry);
        int y = y(entry.origin());
        Event event = entry.event();
        String request = escape(entry.request().map(RequestId::name).orElse(""));
        String title = escape((TimelineText.time(entry) + " " + event.kind() + " " + event.detail()).trim());
        String shape = event.indicatesFailure()
                ? "<path d='M%d %dl6 11h-12z' ".formatted(x, y - 7)
                : "<circle cx=%d cy=%d r=%d ".formatted(x, y, entry.request().isPresent() ? 4 : 5);
        String name = event.indicatesFailure() ? "fault" : event.kind();
        svg.append(shape)
                .append("class='e %s' data-r='%s' data-x=%d data-y=%d>".formatted(name, request, x, y))
                .append("<title>" + title + "</title>")
                .append(event.indicatesFailure() ? "</path>" : "</circle>");
    }

    private String summary() {
        long faults = timeline.entries().stream()
                .filter(entry -> entry.event().indicatesFailure())
                .count();
        return "%d events of %d processes, %d faults, %d gaps"
                .formatted(
                        timeline.entries().size(),
                        lanes.size(),
                        faults,
                        timeline.gaps().size());
    }

    private String gaps() {
        StringBuilder items = new StringBuilder();
        timeline.gaps()
                .forEach(gap ->
                        items.append("<li>").append(escape(gap.description())).append("</li>"));
        return items.isEmpty() ? "<li>none known</li>" : items.toString();
    }

    private String rows() {
        StringBuilder rows = new StringBuilder();
        for (TimelineEntry entry : timeline.entries()) {
            String request = entry.request().map(RequestId::name).orElse("");
            rows.append("<tr class='%s' data-r='%s'>"
                    .formatted(entry.event().indicatesFailure() ? "bad" : "", escape(request)));
            for (String cell : List.of(
                    TimelineText.time(entry),
                    entry.origin().region().name(),
                    entry.origin().instance().name(),
                    TimelineText.shorten(request),
                    entry.event().kind(),
                    entry.event().detail())) {
                rows.append("<td>").append(escape(cell)).append("</td>");
            }
            rows.append("</tr>\n");
        }
        return rows.toString();
    }

    private static String escape(String text) {
        return text.replace("&", "&amp;")
                .replace("<", "&lt;")
                .replace(">", "&gt;")
                .replace("'", "&#39;")
                .replace("\"", "&quot;");
    }

    private static String template() {
        try (InputStream in = TimelinePage.class.getResourceAsStream("/timeline/page.html")) {
            if (in == null) {
                throw new IllegalStateException("missing resource \"timeline/page.html\"");
            }
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new IllegalStateException("cannot read resource \"timeline/page.html\"", e);
        }
    }
}
