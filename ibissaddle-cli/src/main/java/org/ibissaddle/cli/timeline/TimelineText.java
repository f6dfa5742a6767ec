package org.ibissaddle.cli.timeline;

import java.io.PrintStream;
import java.time.Instant;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;
import org.ibissaddle.timeline.Entry;
import org.ibissaddle.timeline.Timeline;

/** Writes a time line for a terminal: one event a line, faults marked in the first column. */
public final class TimelineText {
    private static final DateTimeFormatter TIME =
            DateTimeFormatter.ofPattern("HH:mm:ss.SSS").withZone(ZoneOffset.UTC);
    private static final int SHORT_ID = 8;

    private TimelineText() {}

    /**
     * Writes a time line.
     *
     * @param line the time line
     * @param out where to
     */
    public static void write(Timeline line, PrintStream out) {
        out.printf("  %-12s %-14s %-12s %-9s %-15s %s%n", "time (UTC)", "region", "instance", "request", "event", "");
        line.entries().forEach(entry -> out.println(row(entry)));
        line.gaps().forEach(gap -> out.println("? gap: " + gap.text()));
        long faults =
                line.entries().stream().filter(entry -> entry.event().fault()).count();
        out.printf(
                "%d events, %d faults (marked !), %d gaps (marked ?)%n",
                line.entries().size(), faults, line.gaps().size());
    }

    private static String row(Entry entry) {
        return String.format(
                        "%s %-12s %-14s %-12s %-9s %-15s %s",
                        entry.event().fault() ? "!" : " ",
                        time(entry),
                        entry.origin().region(),
                        entry.origin().instance(),
                        entry.request().map(id -> shorten(id.name())).orElse("-"),
                        entry.event().kind(),
                        entry.event().detail())
                .stripTrailing();
    }

    static String time(Entry entry) {
        return TIME.format(Instant.ofEpochMilli(entry.at().physicalMs()));
    }

    static String shorten(String id) {
        return id.length() <= SHORT_ID ? id : id.substring(0, SHORT_ID);
    }
}
