package org.ibissaddle.cli.timeline;

import java.io.PrintStream;
import java.time.Instant;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;
import org.ibissaddle.timeline.Timeline;
import org.ibissaddle.timeline.TimelineEntry;

/** Prints a timeline as text, one event per line, with faults marked in the first column. */
public final class TimelineText {
    private static final DateTimeFormatter TIME_FORMAT =
            DateTimeFormatter.ofPattern("HH:mm:ss.SSS").withZone(ZoneOffset.UTC);
    private static final int SHORT_ID_CHARS = 8;

    private TimelineText() {}

    /**
     * Prints a timeline.
     *
     * @param timeline timeline to print
     * @param out target stream
     */
    public static void write(Timeline timeline, PrintStream out) {
        out.printf("  %-12s %-14s %-12s %-9s %-15s %s%n", "time (UTC)", "region", "instance", "request", "event", "");
        timeline.entries().forEach(entry -> out.println(row(entry)));
        timeline.gaps().forEach(gap -> out.println("? gap: " + gap.description()));
        long faults = timeline.entries().stream()
                .filter(entry -> entry.event().indicatesFailure())
                .count();
        out.printf(
                "%d events, %d faults (marked !), %d gaps (marked ?)%n",
                timeline.entries().size(), faults, timeline.gaps().size());
    }

    private static String row(TimelineEntry entry) {
        return String.format(
                        "%s %-12s %-14s %-12s %-9s %-15s %s",
                        entry.event().indicatesFailure() ? "!" : " ",
                        time(entry),
                        entry.origin().region(),
                        entry.origin().instance(),
                        entry.request().map(id -> shorten(id.name())).orElse("-"),
                        entry.event().kind(),
                        entry.event().detail())
                .stripTrailing();
    }

    static String time(TimelineEntry entry) {
        return TIME_FORMAT.format(Instant.ofEpochMilli(entry.at().physicalMs()));
    }

    static String shorten(String id) {
        return id.length() <= SHORT_ID_CHARS ? id : id.substring(0, SHORT_ID_CHARS);
    }
}
