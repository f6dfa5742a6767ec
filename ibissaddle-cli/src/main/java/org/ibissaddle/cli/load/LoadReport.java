package org.ibissaddle.cli.load;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import org.HdrHistogram.Histogram;

/** The report of a load run, as text and as one self-contained HTML page. */
final class LoadReport {
    private static final double MICROS_PER_MS = 1000.0;
    private static final int PERCENT = 100;
    private static final double P50 = 50;
    private static final double P90 = 90;
    private static final double P99 = 99;
    private static final String STYLE = "body{font:14px/1.5 sans-serif;margin:2em auto;max-width:900px;color:#222}"
            + "table{border-collapse:collapse;margin:0.5em 0}td,th{padding:2px 14px 2px 0;text-align:right}"
            + "td:first-child,th:first-child{text-align:left}th{border-bottom:1px solid #999}svg text{font:11px sans-serif}";

    private final LoadPlan plan;
    private final Tally tally;
    private final SentAway sentAway;

    LoadReport(LoadPlan plan, Tally tally, SentAway sentAway) {
        this.plan = plan;
        this.tally = tally;
        this.sentAway = sentAway;
    }

    String text() {
        StringBuilder text = new StringBuilder(summary()).append('\n');
        text.append(String.format(
                Locale.ROOT, "%-24s %8s %10s %10s %10s%n", "whole answer, ms", "count", "p50", "p90", "p99"));
        tally.wholeByKind().forEach((kind, times) -> text.append(row("%-24s %8d %10.1f %10.1f %10.1f%n", kind, times)));
        text.append(row("%-24s %8d %10.1f %10.1f %10.1f%n", "first piece, all", tally.first()));
        text.append(averaged()).append('\n');
        text.append(String.format(
                Locale.ROOT,
                "sent to another region: %d of %d (%.2f %%)%n",
                sentAway.away(),
                sentAway.known(),
                sentAway.share() * PERCENT));
        text.append(refusals());
        return text.toString();
    }

    private String summary() {
        return String.format(
                Locale.ROOT,
                "%d started in %d s (mean %.1f/s, seed %d), %d answered whole, %d refused or failed",
                tally.startedCount(),
                plan.seconds(),
                plan.perSecond(),
                plan.seed(),
                tally.answeredCount(),
                tally.refusedCount());
    }

    /** Shows how far a mean of percentiles would be off the percentile of all. */
    private String averaged() {
        double mean = tally.firstByInstance().values().stream()
                .mapToDouble(times -> times.getValueAtPercentile(P99))
                .average()
                .orElse(0);
        double merged = tally.first().getValueAtPercentile(P99);
        return String.format(
                Locale.ROOT,
                "first piece p99 over instances: %.1f ms from merged histograms; a mean of %d percentiles would say"
                        + " %.1f ms (%+.1f %%)",
                merged / MICROS_PER_MS,
                tally.firstByInstance().size(),
                mean / MICROS_PER_MS,
                merged == 0 ? 0 : (mean - merged) / merged * PERCENT);
    }

    private String refusals() {
        StringBuilder text = new StringBuilder();
        tally.refusals().forEach((type, count) -> text.append(String.format(Locale.ROOT, "%-40s %8d%n", type, count)));
        return text.isEmpty() ? "nothing refused\n" : "refusals by type (ran)\n" + text;
    }

    private static String row(String format, String name, Histogram times) {
        return String.format(
                Locale.ROOT,
                format,
                name,
                times.getTotalCount(),
                times.getValueAtPercentile(P50) / MICROS_PER_MS,
                times.getValueAtPercentile(P90) / MICROS_PER_MS,
                times.getValueAtPercentile(P99) / MICROS_PER_MS);
    }

    String html() {
        StringBuilder html = new StringBuilder("<!doctype html><html lang=\"en\"><meta charset=\"utf-8\">")
                .append("<title>ibissaddle load</title><style>")
                .append(STYLE)
                .append("</style><h1>ibissaddle load</h1><p>")
                .append(summary())
                .append("</p><p>Times count from the moment at which a request was meant to start.</p>");
        html.append("<h2>Time to the first piece</h2>").append(times());
        html.append("<h2>Requests in each second</h2>").append(requests());
        html.append("<h2>Whole answers</h2>").append(table());
        html.append("<p>").append(averaged()).append("</p><h2>Sent to another region</h2><p>");
        html.append(String.format(
                Locale.ROOT,
                "%d of %d answers (%.2f %%)</p>",
                sentAway.away(),
                sentAway.known(),
                sentAway.share() * PERCENT));
        html.append("<h2>Refusals by type</h2>").append(refusalTable());
        return html.append("</html>\n").toString();
    }

    private String times() {
        return new LineChart("ms")
                .line("p50", seconds(second -> ms(second, P50)))
                .line("p90", seconds(second -> ms(second, P90)))
                .line("p99", seconds(second -> ms(second, P99)))
                .svg();
    }

    private String requests() {
        return new LineChart("")
                .line("started", rates(Tally.Second::started))
                .line("answered", rates(Tally.Second::answered))
                .line("refused", rates(Tally.Second::refused))
                .svg();
    }

    private static double ms(Tally.Second second, double percentile) {
        return second.firstMicros().getValueAtPercentile(percentile) / MICROS_PER_MS;
    }

    private List<Double> seconds(ToDoubleFunction<Tally.Second> value) {
        return tally.seconds().stream().map(value::applyAsDouble).toList();
    }

    private List<Double> rates(ToDoubleFunction<Tally.Second> total) {
        List<Double> rates = new ArrayList<>();
        double before = 0;
        for (double now : seconds(total)) {
            rates.add(now - before);
            before = now;
        }
        return rates;
    }

    private String table() {
        StringBuilder rows = new StringBuilder(
                "<table><tr><th>kind</th><th>count</th><th>p50 ms</th><th>p90 ms</th><th>p99 ms</th></tr>");
        String format = "<tr><td>%s</td><td>%d</td><td>%.1f</td><td>%.1f</td><td>%.1f</td></tr>";
        tally.wholeByKind().forEach((kind, times) -> rows.append(row(format, kind, times)));
        return rows.append("</table>").toString();
    }

    private String refusalTable() {
        Map<String, Long> counts = tally.refusals();
        if (counts.isEmpty()) {
            return "<p>none</p>";
        }
        StringBuilder rows = new StringBuilder("<table><tr><th>type (ran)</th><th>count</th></tr>");
        counts.forEach((type, count) -> rows.append("<tr><td>")
                .append(type)
                .append("</td><td>")
                .append(count)
                .append("</td></tr>"));
        return rows.append("</table>").toString();
    }
}
